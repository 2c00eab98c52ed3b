; A mass restart at 300 dispatchers: seven in ten are killed at once and come back after 0.3 s, and caches and parents have lost
; what they held. The origin has half as much to spare as it needs on a quiet day. `informed` is the bound.

(world
  (locations 1) (caches 60) (dispatchers 300) (parents 6)
  (rate 6000/s) (slots 12) (pace 2MB/s)
  (store 400000) (parent-store 1500000)
  (origin-slots 150) (origin-wait 60ms)
  (long 45s))

(service "assembly-video" (objective 500ms) (timeout 3s) (share 10%) (size 400) (objects 800))
(service "product-photo" (objective 250ms) (timeout 1.5s) (fresh 5s) (grace 30s) (share 75%) (size 40) (objects 12000))
(service "delivery-confirm" (objective 400ms) (timeout 1.5s) (non-idempotent yes) (share 15%) (size 2))

(fault (at 20s) (for 300ms) (dispatchers-die 70%))
(fault (at 20300ms) (stores-lost 100%))

(brain module)
(brain informed)
(seeds 4)
