/**
 * The JSON-RPC methods between entry processes. The methods of one concern are
 * in one file each of `messages/`.
 */
import type {BackupMethods} from './messages/backup_messages.js';
import type {ClaimMethods} from './messages/claim_messages.js';
import type {ExplanationMethods} from './messages/explanation_messages.js';
import type {MembershipMethods} from './messages/membership_messages.js';
import type {PathMethods} from './messages/path_messages.js';
import type {PermitMethods} from './messages/permit_messages.js';
import type {PlacementMethods} from './messages/placement_messages.js';
import type {QuotaMethods} from './messages/quota_messages.js';
import type {StateMethods} from './messages/state_messages.js';
import type {StreamMethods} from './messages/stream_messages.js';
import type {SuspicionMethods} from './messages/suspicion_messages.js';
import type {UsageMethods} from './messages/usage_messages.js';

/** Parameters and result of each peer method. */
export type PeerMethods = MembershipMethods &
  PermitMethods &
  BackupMethods &
  ClaimMethods &
  StateMethods &
  QuotaMethods &
  PlacementMethods &
  PathMethods &
  StreamMethods &
  ExplanationMethods &
  SuspicionMethods &
  UsageMethods;

/** The name of a peer method. */
export type PeerMethod = keyof PeerMethods;
/** The parameters of method `M`. */
export type PeerParams<M extends PeerMethod> = PeerMethods[M]['params'];
/** The result of method `M`. */
export type PeerResult<M extends PeerMethod> = PeerMethods[M]['result'];

/** A handler for each peer method. */
export type PeerHandlers = {
  readonly [M in PeerMethod]: (
    params: PeerParams<M>,
  ) => PeerResult<M> | Promise<PeerResult<M>>;
};
