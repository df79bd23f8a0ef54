/**
 * Events of a model in virtual time, which run in the order of their times.
 */

type Action = (now: number) => void;

interface ScheduledEvent {
  readonly time: number;
  readonly action: Action;
}

/** A binary heap of events, the earliest one first. */
export class EventQueue {
  private readonly heap: ScheduledEvent[] = [];

  /** Schedules `action` at `time`, in virtual milliseconds. */
  at(time: number, action: Action): void {
    this.heap.push({time, action});
    this.siftUp(this.heap.length - 1);
  }

  /** Runs the events up to `end`, also those that they schedule. */
  runUntil(end: number): void {
    for (;;) {
      const next = this.heap[0];
      if (next === undefined || next.time > end) {
        return;
      }
      this.removeFirst();
      next.action(next.time);
    }
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) {
      return;
    }
    this.heap[0] = last;
    this.siftDown(0);
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.timeAt(parent) <= this.timeAt(index)) {
        return;
      }
      this.swap(parent, index);
      index = parent;
    }
  }

  private siftDown(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const earlier = this.timeAt(right) < this.timeAt(left) ? right : left;
      if (this.timeAt(earlier) >= this.timeAt(index)) {
        return;
      }
      this.swap(earlier, index);
      index = earlier;
    }
  }

  private timeAt(index: number): number {
    return this.heap[index]?.time ?? Infinity;
  }

  private swap(left: number, right: number): void {
    const [first, second] = [this.heap[left], this.heap[right]];
    if (first !== undefined && second !== undefined) {
      this.heap[left] = second;
      this.heap[right] = first;
    }
  }
}
