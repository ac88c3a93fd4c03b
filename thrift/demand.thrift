// Messages by which instances exchange what client accounts demand.

namespace cpp figslip.wire

/** Holds what an account demands of a service at one instance: cost of its
 *  requests per second. */
struct AccountDemand {
  1: required string account
  2: required double offered
  3: required double served
}

/** Holds the demand for a service at one instance. */
struct ServiceDemand {
  1: required string name
  /** Requests wait or are rejected for lack of capacity. */
  2: required bool isShort
  /** Those that offer the most. */
  3: required list<AccountDemand> accounts
  /** Number and sums of the others. */
  4: required i32 otherAccounts
  5: required double otherOffered
  6: required double otherServed
}

/** Holds what one instance says about demand. */
struct DemandReport {
  1: required string instance
  /** Rises with each report of the instance. */
  2: required i64 sequence
  /** Time since the measurement when the message was sent, microseconds. */
  3: required i64 ageUs
  4: required list<ServiceDemand> services
}

/** Passes recent reports on and asks for others. */
struct DemandPush {
  /** Sequences of the newest reports that the sender knows, by instance. */
  1: required map<string, i64> known
  2: required list<DemandReport> reports
}

/** Holds reports that are newer than those that the other side knows. */
struct DemandAnswer {
  1: required list<DemandReport> reports
}
