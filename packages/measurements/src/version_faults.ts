/** The ways in which the new version of a roll-out is bad. */
import type {RolloutRoute} from './rollout_routes.js';

/** How a version is bad. */
export type VersionForm =
  'failing' | 'good' | 'late' | 'one-route' | 'slow' | 'under-load';

/** Where and when a version is used. */
export interface VersionUse {
  /** Virtual time at which its engines are listed. */
  readonly listedAt: number;
  /** Requests in progress at an engine once all traffic has moved. */
  readonly laterLoad: number;
}

/** The faults of one version. */
export class VersionFaults {
  /** Duration of its slow answers as a multiple of the usual one. */
  readonly slowFactor: number;
  private readonly badShare: number;
  private readonly badFrom: number;
  private readonly badLoad: number;

  constructor(
    private readonly form: VersionForm,
    private readonly random: () => number,
    use: VersionUse,
  ) {
    this.badShare = 0.35 + random() * 0.4;
    this.slowFactor = 6 + random() * 4;
    this.badFrom = use.listedAt + 1000 + random() * 2500;
    this.badLoad = (0.8 + random() * 0.2) * use.laterLoad;
  }

  /** Draws whether an answer of an engine with `load` requests is bad. */
  isBad(route: RolloutRoute['name'], load: number, now: number): boolean {
    const isDrawn = this.random() < this.badShare;
    switch (this.form) {
      case 'good':
        return false;
      case 'failing':
      case 'slow':
        return isDrawn;
      case 'late':
        return isDrawn && now >= this.badFrom;
      case 'under-load':
        return isDrawn && load >= this.badLoad;
      case 'one-route':
        return isDrawn && route === 'middle';
    }
  }
}
