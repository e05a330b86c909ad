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
  /** Runs a callback after a time in ms (`setTimeout`). */
  readonly later?: (callback: () => void, delayMs: number) => void;
}

/** Urgent readings that come within this time go out together. */
const URGENT_DELAY_MS = 20;

/**
 * Sends readings at regular times, and at once those of an endpoint that has
 * gone silent: until other instances know them, they send further requests to
 * it. A relay passes them on at once as well.
 */
export class LoadSender {
  private isUrgentPending = false;
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

  /** Sends what is new shortly, marked to be passed on at once. */
  sendSoon(): void {
    if (this.isUrgentPending) return;
    this.isUrgentPending = true;
    this.later(() => {
      this.isUrgentPending = false;
      this.sendUrgent();
    }, URGENT_DELAY_MS);
  }

  /** Adds the readings of a report, and passes on urgent ones. */
  receive(report: LoadReport, origin: LoadOrigin): void {
    const {exchange, host} = this.options;
    exchange.receive(report, origin);
    if (report.isUrgent !== true || !host.isServing) return;
    // Those of another relay have reached the other data centres already.
    if (origin === 'local') this.sendSoon();
    else host.sendLoads({toFollowers: exchange.collectForFollowers()});
  }

  private sendUrgent(): void {
    const {exchange, host, follower} = this.options;
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
