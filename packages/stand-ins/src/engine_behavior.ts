/** Faults of upstream stand-ins. */

/** How an upstream answers its requests. */
export type EngineBehavior =
  /** Sends the complete answer. */
  | 'answer'
  /** Answers with `failureStatus` after the request was executed. */
  | 'fail'
  /** Answers with status 503 and `x-not-executed`. */
  | 'shed'
  /** Executes the request and resets its connection. */
  | 'lose'
  /** Sends the answer of another attempt. */
  | 'answer-another'
  /** Answers with status 200 and without a signature. */
  | 'answer-unsigned'
  /** Answers with status 503 and without `x-not-executed`. */
  | 'busy'
  /**
   * Sends half of the events of a stream and a part of the next one, then
   * resets the connection.
   */
  | 'break-off'
  /** Sends a complete answer without a length, which ends its connection. */
  | 'answer-unframed'
  /**
   * Sends a stream without a length that ends with its connection, inside an
   * event; other answers are complete.
   */
  | 'break-off-unframed'
  /** Never answers. */
  | 'hang'
  /** Sends an answer whose body never ends. */
  | 'flood'
  /** Sends an answer whose body never ends, a byte now and then. */
  | 'trickle';
