/**
 * What the heads of answers say of their upstreams: that they leave, want a pause
 * or take a limited number of requests.
 */
import {
  announcementsOf,
  type UpstreamAnnouncement,
  type UpstreamAnnouncements,
  type UpstreamIncarnation,
  type UpstreamLimits,
} from '@lacewingwinch/decisions';
import type {EventLog, Metrics} from '@lacewingwinch/observability';
import {
  type AnswerHeaders,
  MISDIRECTED_REQUEST_STATUS,
} from '@lacewingwinch/platform';

import type {Clocks} from './clocks.js';

/** Dependencies of `AnswerAnnouncements`. */
export interface AnswerAnnouncementsDependencies {
  readonly clocks: Clocks;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly announcements: UpstreamAnnouncements;
  readonly upstreamLimits: UpstreamLimits;
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

/** Records what the heads of answers say. */
export class AnswerAnnouncements {
  constructor(private readonly dependencies: AnswerAnnouncementsDependencies) {}

  /** Records the head of an answer; returns the announcements in it. */
  record(
    upstream: AnsweringUpstream,
    {status, headers, isOwn, sentAt}: AnnouncingHead,
  ): readonly UpstreamAnnouncement[] {
    if (status === MISDIRECTED_REQUEST_STATUS || !isOwn) {
      return [];
    }
    const announcements = announcementsOf({status, ...headers});
    announcements.forEach(announcement =>
      this.recordAnnouncement(upstream, announcement),
    );
    this.recordLimit(upstream, headers.requestsPerSecond, sentAt);
    return announcements;
  }

  private recordLimit(
    upstream: AnsweringUpstream,
    requestsPerSecond: number | undefined,
    sentAt: number,
  ): void {
    const {upstreamLimits, trueTime, clocks, events, metrics} =
      this.dependencies;
    if (requestsPerSecond === undefined && upstreamLimits.isEmpty) {
      return;
    }
    const answeredAt = trueTime();
    const statement = upstreamLimits.recordAnswer(upstream, {
      requestsPerSecond,
      sentAt: answeredAt - (clocks.steady() - sentAt),
      answeredAt,
    });
    if (statement === undefined) {
      return;
    }
    const {upstreamId, service} = upstream;
    const limit = statement.requestsPerSecond;
    if (limit === null) {
      events.write(3009, {upstreamId, service});
      metrics.upstreamLimits.remove({upstream: upstreamId});
      return;
    }
    events.write(3008, {upstreamId, service, limit});
    metrics.upstreamLimits.set({upstream: upstreamId}, limit);
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
