/** Tests of announcements of upstreams and of requests to a paused service. */
import {describe, expect, it} from 'vitest';

import {
  announcementsOf,
  decidePausedService,
  MAXIMUM_PAUSE_MILLISECONDS,
  type UpstreamAnnouncement,
  UpstreamAnnouncements,
} from '../src/index.js';

const UPSTREAM = {upstreamId: 'engine', bornAt: 1000};
const LEAVING: UpstreamAnnouncement = {kind: 'leaving'};
const PAUSED: UpstreamAnnouncement = {kind: 'paused', milliseconds: 500};

describe('a response', () => {
  it.each([
    {name: 'without announcements', status: 200, leaving: false, expected: []},
    {
      name: 'of a leaving upstream',
      status: 200,
      leaving: true,
      expected: [LEAVING],
    },
    {
      name: 'that refuses with a pause',
      status: 503,
      retryAfter: 0.5,
      expected: [PAUSED],
    },
    {
      name: 'that refuses with a pause while leaving',
      status: 503,
      leaving: true,
      retryAfter: 0.5,
      expected: [LEAVING, PAUSED],
    },
    {
      name: 'with a pause of no length',
      status: 503,
      retryAfter: 0,
      expected: [],
    },
    {name: 'of another status', status: 429, retryAfter: 1, expected: []},
    {
      name: 'with a pause of days',
      status: 503,
      retryAfter: 500_000,
      expected: [{kind: 'paused', milliseconds: MAXIMUM_PAUSE_MILLISECONDS}],
    },
  ])('$name', ({status, leaving = false, retryAfter, expected}) => {
    const response = {
      status,
      isLeaving: leaving,
      retryAfterSeconds: retryAfter,
    };
    expect(announcementsOf(response)).toEqual(expected);
  });
});

describe('an upstream', () => {
  it.each([
    {name: 'that announced nothing', announced: [], at: 0, accepts: true},
    {
      name: 'during its pause',
      announced: [PAUSED],
      at: 499,
      accepts: false,
    },
    {name: 'after its pause', announced: [PAUSED], at: 500, accepts: true},
    {
      name: 'with a shorter second pause',
      announced: [PAUSED, {kind: 'paused' as const, milliseconds: 100}],
      at: 499,
      accepts: false,
    },
    {name: 'that is leaving', announced: [LEAVING], at: 1e9, accepts: false},
    {
      name: 'that is leaving after a pause',
      announced: [LEAVING, PAUSED],
      at: 1e9,
      accepts: false,
    },
    {
      name: 'that started again since',
      announced: [LEAVING, PAUSED],
      at: 0,
      bornAt: 2000,
      accepts: true,
    },
  ])('$name', ({announced, at, bornAt = UPSTREAM.bornAt, accepts}) => {
    const announcements = new UpstreamAnnouncements();
    for (const announcement of announced) {
      announcements.record(UPSTREAM, announcement, 0);
    }
    const upstream = {...UPSTREAM, bornAt};
    expect(announcements.accepts(upstream, at)).toBe(accepts);
    expect(announcements.accepting([upstream], at)).toHaveLength(
      accepts ? 1 : 0,
    );
  });

  it.each([
    {name: 'is free again', bornAt: 0, accepts: true},
    {
      name: 'is not free again if its start is known',
      bornAt: 5,
      accepts: false,
    },
  ])('that is gone $name', ({bornAt, accepts}) => {
    const announcements = new UpstreamAnnouncements();
    announcements.record({...UPSTREAM, bornAt}, LEAVING, 0);
    announcements.forgetUnidentified(UPSTREAM.upstreamId);
    expect(announcements.accepts({...UPSTREAM, bornAt}, 0)).toBe(accepts);
  });

  it('changes by an announcement only if that is news', () => {
    const announcements = new UpstreamAnnouncements();
    const changes = [PAUSED, PAUSED, LEAVING, LEAVING, PAUSED].map(
      announcement => announcements.record(UPSTREAM, announcement, 0),
    );
    expect(changes).toEqual([true, false, true, false, false]);
  });
});

describe('a request to a paused service', () => {
  const bounds = {objectiveMilliseconds: 200, millisecondsLeft: 2000};

  it.each([
    {
      name: 'waits for a short pause',
      pause: 900,
      jitter: 0,
      expected: {kind: 'wait', milliseconds: 900},
    },
    {
      name: 'is refused with the length of a long pause',
      pause: 5000,
      jitter: 0,
      expected: {kind: 'refuse', retryAfterMilliseconds: 5000},
    },
    {
      name: 'returns later than others that were refused',
      pause: 5000,
      jitter: 1,
      expected: {kind: 'refuse', retryAfterMilliseconds: 6000},
    },
    {
      name: 'is refused if it has less time left',
      pause: 900,
      jitter: 0,
      left: 900,
      expected: {kind: 'refuse', retryAfterMilliseconds: 900},
    },
  ])('$name', ({pause, jitter, left = bounds.millisecondsLeft, expected}) => {
    expect(
      decidePausedService(pause, {...bounds, millisecondsLeft: left}, jitter),
    ).toEqual(expected);
  });
});
