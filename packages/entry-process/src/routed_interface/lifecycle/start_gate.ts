/**
 * Holds the requests that arrive while a process reads its state at the start.
 * After the loss of all hosts clients call as soon as a host listens; refused,
 * they would go to hosts that are no further.
 */
import type {IncomingHttpHeaders} from 'node:http';

import type {
  RefusalAnswer,
  RoutedCall,
  RoutedCallHandler,
  RoutedHead,
  RoutedResponder,
} from '@lacewingwinch/callers';
import type {ServingError} from '@lacewingwinch/decisions';

/**
 * Longest time for which a request is held: a part of the shortest time that
 * clients wait. Reading the state takes less on a host with one core.
 */
export const MAXIMUM_HOLD_MILLISECONDS = 250;

/** Passes requests on to the front once the process can serve. */
export class StartGate implements RoutedCallHandler {
  private readonly waiting = new Set<() => void>();
  private isOpen = false;

  constructor(private readonly front: RoutedCallHandler) {}

  /** Passes on all requests, also those that were held, in their order. */
  open(): void {
    this.isOpen = true;
    for (const pass of this.waiting) {
      pass();
    }
  }

  async serve(call: RoutedCall, responder: RoutedResponder): Promise<void> {
    if (!this.isOpen) {
      await this.hold(call.clientDisconnected);
    }
    if (!call.clientDisconnected.aborted) {
      await this.front.serve(call, responder);
    }
  }

  refuse(headers: IncomingHttpHeaders, error: ServingError): RefusalAnswer {
    return this.front.refuse(headers, error);
  }

  screen(head: RoutedHead): ServingError | undefined {
    return this.isOpen ? this.front.screen(head) : undefined;
  }

  maximumBodyBytes(): number {
    return this.front.maximumBodyBytes();
  }

  maximumHeaderBytes(): number {
    return this.front.maximumHeaderBytes();
  }

  private hold(clientDisconnected: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const pass = (): void => {
        clearTimeout(timer);
        clientDisconnected.removeEventListener('abort', pass);
        this.waiting.delete(pass);
        resolve();
      };
      const timer = setTimeout(pass, MAXIMUM_HOLD_MILLISECONDS);
      clientDisconnected.addEventListener('abort', pass, {once: true});
      this.waiting.add(pass);
    });
  }
}
