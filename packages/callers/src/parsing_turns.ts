/**
 * How much of an iteration of the event loop the parsing of requests takes. Whatever
 * the number of connections that have bytes to parse, other work of the process waits
 * for a bounded part of it.
 */

/** A connection that waits for its turn. */
export type ParsingTurn = () => void;

/** Work of all connections in an iteration after which others wait for their turns. */
const WORK_PER_ITERATION = 2048;

/** Work in an iteration for connections that have waited. */
const WORK_OF_WAITING = WORK_PER_ITERATION / 2;

/** Work after which the end of an iteration is awaited. */
const UNTIMED_WORK = WORK_PER_ITERATION / 4;

/** The connections of a process that wait for their turns. */
export class ParsingTurns {
  private readonly waiting = new Set<ParsingTurn>();
  private work = 0;
  private isScheduled = false;

  /** Whether further connections have to wait for their turns. */
  get isSpent(): boolean {
    return this.work >= WORK_PER_ITERATION;
  }

  /** Records work of the parser. */
  record(work: number): void {
    this.work += work;
    if (this.work >= UNTIMED_WORK) {
      this.schedule();
    }
  }

  /** Calls `turn` in a later iteration of the event loop. */
  add(turn: ParsingTurn): void {
    this.waiting.add(turn);
    this.schedule();
  }

  /** Removes a turn that is not needed any more. */
  remove(turn: ParsingTurn): void {
    this.waiting.delete(turn);
  }

  private schedule(): void {
    if (!this.isScheduled) {
      this.isScheduled = true;
      setImmediate(() => this.startIteration());
    }
  }

  private startIteration(): void {
    this.isScheduled = false;
    this.work = 0;
    const turns = [...this.waiting].slice(0, WORK_OF_WAITING);
    for (const turn of turns) {
      if (this.work >= WORK_OF_WAITING) {
        break;
      }
      if (this.waiting.delete(turn)) {
        turn();
      }
    }
    if (this.waiting.size > 0) {
      this.schedule();
    }
  }
}
