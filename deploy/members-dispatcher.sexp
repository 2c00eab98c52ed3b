; A dispatcher that is a member of its fleet: `myrtlegauge dispatch deploy/members-dispatcher.sexp`.

(log (form text) (level info))

(dispatcher
  (name "edge-1")                  ; one name, one dispatcher
  (listen "127.0.0.1:9000")        ; fronts, FastCGI
  (change-log "127.0.0.1:4222")
  (peers
    (listen "127.0.0.1:9100")      ; members, UDP and TCP
    (fleet "stores")
    (peer "127.0.0.1:9101")        ; some to begin with, not all
    (peer "127.0.0.1:9102")))

(footprint
  (zone "hub" (hub 0))
  (zone "edge-a" (hub 0))
  (here "edge-a")
  (instances 12)                   ; counts until most were reached once
  (transfer-pace 10MB/s)
  (cache-start (share 22%) (warm-within 17s) (falls-at 2)))

(delivery-service "assembly-video" (objective 500ms) (timeout 5s))
(delivery-service "product-photo" (objective 400ms) (timeout 5s) (fresh 5s) (grace 30s))
