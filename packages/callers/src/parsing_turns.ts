/**
 * The order in which connections that have sent ahead are parsed. One of them gets its
 * turn in each iteration of the event loop, so that many of them delay what else the
 * process does by no more than one.
 */

/** A connection that waits for its turn. */
export type ParsingTurn = () => void;

/** The connections of a process that wait for their turns. */
export class ParsingTurns {
  private readonly waiting = new Set<ParsingTurn>();

  /** Calls `turn` in a later iteration of the event loop. */
  add(turn: ParsingTurn): void {
    if (this.waiting.size === 0) {
      this.schedule();
    }
    this.waiting.add(turn);
  }

  /** Removes a turn that is not needed any more. */
  remove(turn: ParsingTurn): void {
    this.waiting.delete(turn);
  }

  private schedule(): void {
    setImmediate(() => {
      const [turn] = this.waiting;
      if (turn === undefined) {
        return;
      }
      this.waiting.delete(turn);
      if (this.waiting.size > 0) {
        this.schedule();
      }
      turn();
    });
  }
}
