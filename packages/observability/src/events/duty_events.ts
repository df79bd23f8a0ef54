/**
 * The log events of the duties that one host at a time performs.
 */
import type {EventRow} from './event_row.js';

/** Events 5001 to 5999. */
export const DUTY_EVENTS = {
  5001: {
    level: 'info',
    message:
      'entry host {hostId} holds the lease for orders or duties with fencing number {fencingNumber}',
    advice: 'No action needed.',
  },
  5003: {
    level: 'warn',
    message:
      'an order for {hostClass} hosts in {failureDomain} was not filled completely',
    advice:
      'No action needed; the missing hosts are ordered from another offer.',
  },
  5004: {
    level: 'warn',
    message: 'entry host {hostId} no longer holds the duty lease',
    advice:
      'No action needed; another host takes over once the lease has expired.',
  },
  5005: {
    level: 'warn',
    message: 'a round of the duty task failed: {error}',
    advice: 'See "When the platform is down" in OPERATIONS.md.',
  },
  5006: {
    level: 'info',
    message: 'usage of window {window} was reported: {total} requests',
    advice: 'No action needed.',
  },
  5007: {
    level: 'info',
    message:
      '{count} {hostClass} engines of {service} in {failureDomain} were ordered: {result}',
    advice: 'No action needed; a refused order is retried.',
  },
  5008: {
    level: 'warn',
    message:
      'the store was restored from an older copy while entry host {hostId} renewed the duty lease',
    advice:
      'See "When the store is restored from an older copy" in OPERATIONS.md.',
  },
  5009: {
    level: 'info',
    message:
      '{planned} reclaimable engines of {service} are planned: the load needs {calm} (objective kept), {shortTerm} for a while, {afterLoss} after the loss of half of them; busy {busy}, expected {expected}, peak {peak} engines at a utilization of {utilization}, {tokenMicroseconds} us a token, {cached} tokens cached for each one read, {strained}% refused or late because of others; load of {heard}% of the hosts is {loadAge} ms old and was seen for {seen} ms, last lost domain {lossAge} ms ago, first plan {planAge} ms ago; {usual} engines at first; out of capacity: {outOfCapacity}',
    advice: 'See "Why that many engines stand there" in OPERATIONS.md.',
  },
  5020: {
    level: 'info',
    message:
      'the traffic of {service} is to move to software version {softwareVersion} within {duration} ms (order {orderId})',
    advice: 'No action needed.',
  },
  5021: {
    level: 'info',
    message:
      'the roll-out of {service} to software version {softwareVersion} is {phase} with a share of {share} of the requests ({kind}, record {sequence}): {verdict}',
    advice: 'No action needed.',
  },
  5022: {
    level: 'warn',
    message:
      'the roll-out of {service} to software version {softwareVersion} was rolled back: {reason}',
    advice: 'See "Roll-outs" in OPERATIONS.md.',
  },
  5023: {
    level: 'info',
    message:
      'the roll-out of {service} to software version {softwareVersion} is completed: {verdict}',
    advice: 'No action needed.',
  },
  5024: {
    level: 'warn',
    message: 'a roll-out of {service} is not carried out: {reason}',
    advice: 'Correct the order and publish it again.',
  },
  5025: {
    level: 'warn',
    message: 'a round of the roll-out task failed: {error}',
    advice: 'See "When the platform is down" in OPERATIONS.md.',
  },
  5026: {
    level: 'info',
    message: 'the status of the roll-out of {service} was published: {phase}',
    advice: 'No action needed.',
  },
} as const satisfies Readonly<Record<number, EventRow>>;
