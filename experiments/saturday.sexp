; A Saturday in small: many confirmations and photos, a few large clips; caches are taken away while more is asked, the
; origin slows, everything is purged. Run it with `myrtlegauge experiment`, or with a changed copy of this file.

(world
  (locations 3) (caches 8) (dispatchers 3) (parents 4)
  (rate 250/s) (slots 12) (pace 2MB/s)
  (store 120000) (parent-store 500000)
  (origin-slots 40) (origin-wait 60ms)
  (long 60s))

(service "assembly-video" (objective 500ms) (timeout 3s) (share 15%) (size 600) (objects 400))
(service "product-photo" (objective 250ms) (timeout 1.5s) (fresh 5s) (grace 30s) (share 70%) (size 40) (objects 20000))
(service "delivery-confirm" (objective 400ms) (timeout 1.5s) (non-idempotent yes) (share 15%) (size 2))

(fault (at 8s) (for 10s) (caches-die 4))
(fault (at 20s) (for 8s) (caches-silent 2) (caches-slow 2))
(fault (at 30s) (for 6s) (caches-drain 4))
(fault (at 34s) (for 8s) (origin-slow yes))
(fault (at 44s) (for 6s) (burst 60%))
(fault (at 46s) (purge-all yes))
(fault (at 52s) (for 5s) (parents-die 1))

(brain module)
(brain hashing)
(brain random)
(seeds 6)
