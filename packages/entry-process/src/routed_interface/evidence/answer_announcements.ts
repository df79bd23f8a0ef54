/**
 * What the heads of answers say of their upstreams: that they leave, want a pause
 * or take a limited number of requests.
 */
import {
  announcementsOf,
  type AnsweredRates,
  type NamedRates,
  type RateStatement,
  type UpstreamAnnouncement,
  type UpstreamAnnouncements,
  type UpstreamIncarnation,
} from '@lacewingwinch/decisions';
import type {EventLog, Metrics} from '@lacewingwinch/observability';
import {
  type AnswerHeaders,
  MISDIRECTED_REQUEST_STATUS,
} from '@lacewingwinch/platform';

import type {Clocks} from '../../util/clocks.js';

/** Dependencies of `AnswerAnnouncements`. */
export interface AnswerAnnouncementsDependencies {
  readonly clocks: Clocks;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly announcements: UpstreamAnnouncements;
  readonly namedRates: NamedRates;
  /** Returns milliseconds since the epoch, the same on all hosts. */
  readonly trueTime: () => number;
}

/** An upstream that answered. */
export interface AnsweringUpstream extends UpstreamIncarnation {
  readonly service: string;
}

/** The head of an answer. */
export interface AnnouncingHead {
  readonly status: number;
  readonly headers: AnswerHeaders;
  /** Whether the answer belongs to the attempt that was sent. */
  readonly isOwn: boolean;
  /** Steady clock reading at the first byte of the attempt. */
  readonly sentAt: number;
}

/** Largest number of upstreams whose unusable headers are logged. */
const MAXIMUM_LOGGED_UPSTREAMS = 1024;

/** Records what the heads of answers say. */
export class AnswerAnnouncements {
  /** Starts of the upstreams whose unusable headers were logged, by id. */
  private readonly loggedStarts = new Map<string, number>();

  constructor(private readonly dependencies: AnswerAnnouncementsDependencies) {}

  /** Records the head of an answer; returns the announcements in it. */
  record(
    upstream: AnsweringUpstream,
    {status, headers, isOwn, sentAt}: AnnouncingHead,
  ): readonly UpstreamAnnouncement[] {
    if (status === MISDIRECTED_REQUEST_STATUS || !isOwn) {
      return [];
    }
    this.logUnusable(upstream, headers.unusable);
    const announcements = announcementsOf({status, ...headers});
    announcements.forEach(announcement =>
      this.recordAnnouncement(upstream, announcement),
    );
    this.recordRates(upstream, headers, sentAt);
    return announcements;
  }

  /** Logs headers that cannot be used, once for each start of an upstream. */
  private logUnusable(
    {upstreamId, bornAt, service}: AnsweringUpstream,
    unusable: readonly string[],
  ): void {
    const isLogged =
      unusable.length === 0 ||
      this.loggedStarts.get(upstreamId) === bornAt ||
      this.loggedStarts.size >= MAXIMUM_LOGGED_UPSTREAMS;
    if (isLogged) {
      return;
    }
    this.loggedStarts.set(upstreamId, bornAt);
    const {events} = this.dependencies;
    events.write(3031, {upstreamId, service, headers: unusable.join(', ')});
  }

  private recordRates(
    upstream: AnsweringUpstream,
    {requestsPerSecond, refusalsPerSecond}: AnsweredRates,
    sentAt: number,
  ): void {
    const {namedRates, trueTime, clocks} = this.dependencies;
    const isNamed =
      requestsPerSecond !== undefined || refusalsPerSecond !== undefined;
    if (!isNamed && namedRates.isEmpty) {
      return;
    }
    const answeredAt = trueTime();
    namedRates
      .recordAnswer(upstream, {
        requestsPerSecond,
        refusalsPerSecond,
        sentAt: answeredAt - (clocks.steady() - sentAt),
        answeredAt,
      })
      .forEach(statement => this.logRate(upstream, statement));
  }

  private logRate(
    {upstreamId, service}: AnsweringUpstream,
    {kind, perSecond}: RateStatement,
  ): void {
    const {events, metrics} = this.dependencies;
    const gauge =
      kind === 'requests' ? metrics.upstreamLimits : metrics.brittleUpstreams;
    if (perSecond === null) {
      events.write(kind === 'requests' ? 3009 : 3016, {upstreamId, service});
      gauge.remove({upstream: upstreamId});
      return;
    }
    gauge.set({upstream: upstreamId}, perSecond);
    switch (kind) {
      case 'requests':
        events.write(3008, {upstreamId, service, limit: perSecond});
        return;
      case 'refusals':
        events.write(3015, {upstreamId, service, limit: perSecond});
    }
  }

  private recordAnnouncement(
    upstream: AnsweringUpstream,
    announcement: UpstreamAnnouncement,
  ): void {
    const {announcements, clocks, events} = this.dependencies;
    const {upstreamId, service} = upstream;
    const isNew = announcements.record(
      upstream,
      announcement,
      clocks.suspensionAware(),
    );
    if (!isNew) {
      return;
    }
    switch (announcement.kind) {
      case 'leaving':
        events.write(3006, {upstreamId, service});
        return;
      case 'paused': {
        const milliseconds = Math.round(announcement.milliseconds);
        events.write(3007, {upstreamId, service, milliseconds});
      }
    }
  }
}
