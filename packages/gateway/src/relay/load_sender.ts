/** Decides when load readings are sent, and to whom. */

import type {LoadOrigin} from '@snipestage/routing/load_view.js';
import type {LoadExchange} from './load_exchange.js';
import type {LoadReport} from './load_report.js';
import type {RelayFollower} from './relay_follower.js';
import type {RelayHost} from './relay_host.js';

/** Options of {@link LoadSender}; default in the brackets. */
export interface LoadSenderOptions {
  readonly exchange: LoadExchange;
  readonly host: Pick<RelayHost, 'isServing' | 'sendLoads'>;
  readonly follower: Pick<RelayFollower, 'isFollowing' | 'sendLoads'>;
  readonly nowMs: () => number;
  /** Runs a callback after a time in ms (`setTimeout`). */
  readonly later?: (callback: () => void, delayMs: number) => void;
}

/**
 * Least time between two urgent sendings. While many engines are full, a relay
 * gets dozens of urgent readings a second, and has a hundred followers.
 */
const URGENT_EVERY_MS = 100;

/** Whom urgent readings go to; `all`: other relays too. */
type Audience = 'followers' | 'all';

/**
 * Sends readings at regular times, and at once those of an endpoint that has
 * gone silent: until other instances know them, they send further requests to
 * it. A relay passes them on soon as well.
 */
export class LoadSender {
  /** Undefined while no urgent reading waits to be sent. */
  private pending: Audience | undefined;
  private sentUrgentAtMs = Number.NEGATIVE_INFINITY;
  private readonly later: (callback: () => void, delayMs: number) => void;

  constructor(private readonly options: LoadSenderOptions) {
    this.later =
      options.later ??
      ((callback, delayMs) => setTimeout(callback, delayMs).unref());
  }

  /** Sends what is new. */
  send(): void {
    const {exchange, host, follower} = this.options;
    if (host.isServing) {
      host.sendLoads(exchange.collectForOthers());
      return;
    }
    if (!follower.isFollowing) return;
    const report = exchange.collectForRelay();
    if (report !== undefined) follower.sendLoads(report);
  }

  /** Sends what is new shortly, marked to be passed on shortly as well. */
  sendSoon(): void {
    this.schedule('all');
  }

  /** Adds the readings of a report, and passes on urgent ones. */
  receive(report: LoadReport, origin: LoadOrigin): void {
    const {exchange, host} = this.options;
    exchange.receive(report, origin);
    if (report.isUrgent !== true || !host.isServing) return;
    // Those of another relay have reached the other data centres already.
    this.schedule(origin === 'local' ? 'all' : 'followers');
  }

  private schedule(audience: Audience): void {
    const isScheduled = this.pending !== undefined;
    this.pending = audience === 'all' ? audience : (this.pending ?? audience);
    if (isScheduled) return;
    const dueAtMs = this.sentUrgentAtMs + URGENT_EVERY_MS;
    const delayMs = Math.max(0, dueAtMs - this.options.nowMs());
    this.later(() => this.sendUrgent(), delayMs);
  }

  private sendUrgent(): void {
    const {exchange, host, follower} = this.options;
    const audience = this.pending;
    this.pending = undefined;
    this.sentUrgentAtMs = this.options.nowMs();
    if (host.isServing && audience === 'followers') {
      host.sendLoads({toFollowers: exchange.collectForFollowers()});
      return;
    }
    if (host.isServing) {
      const {toFollowers, toRelays} = exchange.collectForOthers();
      host.sendLoads({toFollowers, toRelays: markUrgent(toRelays)});
      return;
    }
    if (!follower.isFollowing) return;
    const report = exchange.collectForRelay();
    if (report !== undefined) follower.sendLoads(markUrgent(report));
  }
}

function markUrgent(report: LoadReport): LoadReport {
  return {...report, isUrgent: true};
}
