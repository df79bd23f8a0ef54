/**
 * Messages between fronts and the dispatchers that grant permits.
 */
import type {
  DispatchEffect,
  HeldPermit,
  PermitRequest,
} from '@lacewingwinch/decisions';

/** Parameters and result of each of these methods. */
export interface PermitMethods {
  readonly 'permit.request': {
    readonly params: {readonly shardId: string; readonly ask: PermitRequest};
    readonly result: DispatchEffect;
  };
  readonly 'permit.release': {
    readonly params: {
      readonly shardId: string;
      readonly permitIds: readonly string[];
    };
    readonly result: null;
  };
  readonly 'permit.renew': {
    readonly params: {
      readonly shardId: string;
      readonly front: string;
      readonly permits: readonly HeldPermit[];
    };
    readonly result: null;
  };
}
