; An example of the control service's operator file: `myrtlegauge control deploy/control.sexp`.
; `myrtlegauge check FILE` tells all that is wrong with one, `myrtlegauge check --explain` all that one may say.

(log (form text) (level info))

(control
  (name "edge-control")
  (listen "127.0.0.1:18000")      ; proxies' gRPC; loopback until TLS is there
  ; (change-log "127.0.0.1:4222") ; hosts and purges; without it the hosts below, read again on SIGHUP
  (drain-grace 250ms)
  (purge-grace 1s)
  (clock-error 10ms)
  (reports-every 500ms)
  (most-proxies 1000))

(footprint
  (zone "hub" (hub 0))
  (zone "edge" (hub 0))
  (here "edge")
  (transfer-pace 10MB/s)
  (cache-start (share 22%) (warm-within 17s) (falls-at 2))
  (parent-start (share 8%) (warm-within 20s) (falls-at 2))
  (purged-within 6s))

(delivery-service "assembly-video" (objective 500ms) (timeout 5s))
(delivery-service "product-photo" (objective 400ms) (timeout 5s) (fresh 5s) (grace 30s))
(delivery-service "delivery-confirm" (objective 600ms) (timeout 5s) (effect non-idempotent) (passed-on yes))

(host "cache-0" (address "127.0.0.1:19000") (zone "edge") (kind cache) (weight 4))
(host "cache-1" (address "127.0.0.1:19001") (zone "edge") (kind cache) (weight 4))
(host "cache-2" (address "127.0.0.1:19002") (zone "edge") (kind cache) (weight 4))
(host "parent-3" (address "127.0.0.1:19003") (zone "hub") (kind parent) (weight 30))
(host "parent-4" (address "127.0.0.1:19004") (zone "hub") (kind parent) (weight 30))
(host "origin-5" (address "127.0.0.1:19005") (zone "hub") (kind origin))
