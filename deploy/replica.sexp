; A replica of the change log: `myrtlegauge replica deploy/replica.sexp`, shown by `myrtlegauge replica status`.

(log (form text) (level info))

(replica
  (name "replica-1")                ; one name, one replica
  (listen "127.0.0.1:18100")        ; dispatchers and the other replicas poll here
  (peer (name "replica-2") (address "127.0.0.1:18101"))
  (peer (name "replica-3") (address "127.0.0.1:18102"))
  (source "127.0.0.1:4222")         ; the platform's change log; leave it out where peers have one
  (batch 100ms)
  (member-lease 10s)
  (doubt-after 3s)                  ; as the dispatchers' files tell it
  (purges-kept 40s)
  (most-connections 1000))
