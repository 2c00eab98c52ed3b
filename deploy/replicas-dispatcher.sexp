; A dispatcher that polls replicas of the change log: `myrtlegauge dispatch deploy/replicas-dispatcher.sexp`.

(log (form text) (level info))

(dispatcher
  (name "edge-1")
  (listen "127.0.0.1:9000")         ; fronts, FastCGI
  (replicas
    (primary "127.0.0.1:18100")
    (fallback "127.0.0.1:18101")
    (doubt-after 3s)))

(footprint
  (zone "hub" (hub 0))
  (zone "edge-a" (hub 0))
  (here "edge-a")
  (instances 12)                   ; counts until most were reached once
  (transfer-pace 10MB/s)
  (cache-start (share 22%) (warm-within 17s) (falls-at 2)))

(delivery-service "assembly-video" (objective 500ms) (timeout 5s))
(delivery-service "product-photo" (objective 400ms) (timeout 5s) (fresh 5s) (grace 30s))
