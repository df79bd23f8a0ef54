/** Requests at a simulated engine, and the events that it reports of them. */
import type {PromptPart} from '@lacewingwinch/decisions';

/** A request that an engine runs. */
export interface EngineRequest {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Parts of the prompt in order; together at most `promptTokens`. */
  readonly parts: readonly PromptPart[];
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** What an engine has of a request that another engine began. */
export interface EngineStart {
  /** Tokens of the output that other engines produced before. */
  readonly producedTokens: number;
  /** Whether the memory of the request was moved here, so that it isn't read. */
  readonly hasImportedCache: boolean;
}

/** A request that no other engine began. */
export const NEW_REQUEST: EngineStart = {
  producedTokens: 0,
  hasImportedCache: false,
};

/** A change in the state of a request. */
export interface EngineEvent<Request extends EngineRequest> {
  readonly kind: 'first-token' | 'ended';
  readonly request: Request;
  /** Virtual time in milliseconds. */
  readonly time: number;
  /** Prompt tokens that were read, because they were not cached. */
  readonly readTokens: number;
}

/** A request at an engine. */
export interface EngineRun<Request extends EngineRequest> {
  readonly request: Request;
  readonly start: EngineStart;
  readonly order: number;
  /** Memory that the request may need besides cached prompt parts. */
  reservedTokens: number;
  unreadTokens: number;
  readTokens: number;
  /** Steps of the engine at the first and last token, once it decodes. */
  firstTokenStep: number;
  lastTokenStep: number;
  hasFirstToken: boolean;
}

/** Compares requests: the most urgent and oldest first. */
export function byUrgency(
  left: EngineRun<EngineRequest>,
  right: EngineRun<EngineRequest>,
): number {
  return (
    left.request.priority - right.request.priority || left.order - right.order
  );
}
