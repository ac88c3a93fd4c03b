// Messages by which instances pass on their copy of the platform's store.

namespace cpp figslip.wire

/** Tells how far a follower knows the objects of one kind. */
struct RelayCursor {
  1: required string kind
  /** 0: none of this process. */
  2: required i64 sequence
  /** Revision of the store of which the follower has a copy, from whatever
   *  source; absent: it has none. */
  3: optional i64 storeRevision
  /** Era of that revision; absent: 0, of a store that states none. */
  4: optional i64 storeEra
}

/** Asks for what is newer than the cursors. */
struct RelayPoll {
  /** Process whose sequences the cursors name; 0: none. */
  1: required i64 epoch
  2: required list<RelayCursor> cursors
  /** Longest time without news, milliseconds. */
  3: required i32 waitMs
  /** The follower is of another failure domain; absent: it is not. */
  4: optional bool isForeign
}

/** Holds one object; its contents are JSON texts. */
struct RelayedObject {
  1: required string name
  2: required i64 revision
  3: required i64 created
  4: required string spec
  5: required string status
}

/** Holds the changes of one kind. */
struct RelayedKind {
  1: required string kind
  2: required i64 sequence
  /** The objects are all there are; else those changed since the cursor. */
  3: required bool isWhole
  4: required list<RelayedObject> objects
  5: required list<string> removed
  6: required i64 storeRevision
  /** When the copy was confirmed, against the arrival of the poll; below zero:
   *  before it. Microseconds. */
  7: required i64 confirmedUs
  /** Era of all revisions here; absent: 0, of a store that states none. */
  8: optional i64 storeEra
}

/** Answers a poll. */
struct RelayAnswer {
  1: required i64 epoch
  /** The copy comes from the store itself and is current. */
  2: required bool isDirect
  3: required list<RelayedKind> kinds
  /** Instance that the answering one follows; absent: none. */
  4: optional string source
}
