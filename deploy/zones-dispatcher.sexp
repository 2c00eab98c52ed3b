; A dispatcher that follows control services on zones: `myrtlegauge dispatch deploy/zones-dispatcher.sexp`.

(log (form text) (level info))

(dispatcher
  (name "edge-1")
  (listen "127.0.0.1:9000")        ; fronts, FastCGI
  (change-log "127.0.0.1:4222")
  (follow "127.0.0.1:18000")       ; one line for each control service
  (reports-every 250ms)
  (memory 192) (sockets 1024))

(footprint
  (zone "hub" (hub 0))
  (zone "edge-a" (hub 0) (bears 4000/s))
  (zone "edge-b" (hub 0) (bears 4000/s))
  (zone "edge-c" (hub 0) (bears 4000/s))
  (here "edge-a") (also "edge-b") (also "edge-c")
  (transfer-pace 10MB/s)
  (dispatchers 12)
  (cache-start (share 22%) (warm-within 17s) (falls-at 2))
  (parent-start (share 8%) (warm-within 20s) (falls-at 2)))

(delivery-service "assembly-video" (objective 500ms) (timeout 5s))
(delivery-service "product-photo" (objective 400ms) (timeout 5s) (fresh 5s) (grace 30s))
(delivery-service "delivery-confirm" (objective 600ms) (timeout 5s) (effect non-idempotent) (passed-on yes))
