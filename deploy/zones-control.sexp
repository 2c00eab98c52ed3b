; A control service that has zones left and come back to as a fleet: `myrtlegauge control deploy/zones-control.sexp`.

(log (form text) (level info))

(control
  (name "zones-control")
  (listen "127.0.0.1:18000")
  (change-log "127.0.0.1:4222")
  (drain-grace 250ms) (purge-grace 1s) (clock-error 10ms)
  (reports-every 250ms)
  (zones (quorum 60%) (least-voters 3) (hold 10s) (tries 3)))

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
