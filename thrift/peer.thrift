// Messages between the entry instances of figslip.

namespace cpp figslip.wire

/** Names one run of one instance. */
struct Incarnation {
  1: string instance
  2: i64 startedAtMs
}

/** Tells which manifest a peer has in force. */
struct ManifestDigest {
  1: i64 generation
  /** Age of the last confirmation by the platform, milliseconds. */
  2: i64 confirmedAgeMs
}

/** Counts of one origin, span of time, version and task kind. */
struct Evidence {
  1: Incarnation origin
  2: i64 bucket
  3: string version
  4: string taskKind
  5: i64 answered
  6: i64 errors
  7: i64 accepted
  8: i64 escalated
  9: i64 good
  10: i64 bad
}

/** Reports a request that ran on an upstream when it crashed. */
struct Crash {
  1: i64 fingerprint
  2: string upstream
  3: i64 ageMs
  /** Requests of the reporter that were running there. */
  4: i32 inFlight
}

/** Tells what a peer knows of an upstream of its failure domain. */
struct UpstreamNews {
  1: string upstream
  2: string bootId
  3: bool warm
  /** Requests of the peer running there. */
  4: i32 inFlight
  /** Age of the last surprise (refusal, reset, restart), milliseconds; -1: none. */
  5: i64 surpriseAgeMs
  /** Load that the upstream reported to the peer; -1: none. */
  6: i32 running
  7: i64 runningAgeMs
}

/** Tells how much work a failure domain can take, as a peer sees it. */
struct DomainLoad {
  1: string failureDomain
  2: i32 freeSlots
  3: i32 waiting
  4: i64 ageMs
}

/** What peers tell each other at every exchange. */
struct Digest {
  1: Incarnation sender
  2: string failureDomain
  3: ManifestDigest manifest
  4: list<Evidence> evidence
  5: list<Crash> crashes
  6: list<UpstreamNews> upstreams
  7: list<string> stoppedVersions
  8: list<DomainLoad> loads
}

/** Tells how an entry uses one upstream in cold start. */
struct ColdUse {
  1: string upstream
  /** Slots that the sender may use until it reads the answer. */
  2: i32 held
  /** Requests of the sender running there. */
  3: i32 inFlight
  4: i32 wanted
  /** Token of the last answer of this home; 0: none. */
  5: i64 token
}

/** Asks the home of upstreams in cold start for capacity. */
struct GrantRequest {
  1: Incarnation sender
  /** Grows with every request of the sender. */
  2: i64 sequence
  3: list<ColdUse> uses
}

/** Grants cold capacity for a time counted from the sending of the request. */
struct ColdGrant {
  1: string upstream
  /** To be sent back with the next request; 0: the receiver is not the home. */
  2: i64 token
  3: i32 slots
  4: i64 lengthMs
}

/** Answers all uses of one request. */
struct GrantAnswer {
  1: list<ColdGrant> grants
}

/** A manifest as text. */
struct ManifestText {
  1: i64 generation
  2: i64 confirmedAgeMs
  3: string text
}

/** Billing records that a peer keeps until their origin has written them. */
struct BillingCopies {
  1: Incarnation origin
  /** JSON text of a batch of records. */
  2: string batch
  /** Number of this copy, counted by the origin. */
  3: i64 sequence
}

service Peer {
  /** Tells the sender's digest and returns the receiver's. */
  Digest exchange(1: Digest digest)

  /** Returns the manifest in force. */
  ManifestText fetchManifest()

  /** Asks the home of upstreams in cold start for capacity. */
  GrantAnswer requestGrant(1: GrantRequest request)

  /** Keeps copies of billing records for their origin. */
  bool holdBilling(1: BillingCopies copies)

  /** Forgets all copies of an origin up to a sequence; they are written. */
  bool releaseBilling(1: Incarnation origin, 2: i64 upToSequence)
}
