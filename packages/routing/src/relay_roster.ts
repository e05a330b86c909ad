/** Which instances follow the platform's store for others, and who should. */

import {hashText} from '@snipestage/policy/rendezvous.js';
import type {DataCentreId, InstanceId} from '@snipestage/types/ids.js';

/** A seat for a relay, and who has taken it. */
export interface RelaySeat {
  readonly dataCentre: DataCentreId;
  readonly number: number;
  readonly holder: RelayHolder | undefined;
  /** The store's version of the row; 0 while there is none. */
  readonly version: number;
}

/** Who relays, and where others reach it: `<IP number>:<port>`. */
export interface RelayHolder {
  readonly instance: InstanceId;
  readonly address: string;
}

/** What a {@link RelayRoster} is made from; defaults in the brackets. */
export interface RelayRosterOptions {
  readonly instance: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly dataCentres: number;
  /** 0 to 1: how well this instance's machine can serve others. */
  readonly strength: number;
  /** Relays in each data centre (2): one may be killed, cut off or busy. */
  readonly seats?: number;
  /** Instances for each relay before it pays to have one (3). */
  readonly minFollowers?: number;
  /** How long a relay that failed is left alone (6,000 ms). */
  readonly suspectForMs?: number;
}

const DEFAULT_SEATS = 2;
const DEFAULT_MIN_FOLLOWERS = 3;
const DEFAULT_SUSPECT_FOR_MS = 6000;
/**
 * Candidates for a seat come one after the other over this time, so that mostly
 * one writes and the others see it: each write is a priced call.
 */
const CLAIM_SPREAD_MS = 3000;
/**
 * Share of that time by which strong machines come first: a relay sends each
 * configuration, tens of kilobytes, to a dozen others, which takes a link of
 * 7 Mbit/s a second.
 */
const STRENGTH_SHARE = 0.7;
const HASH_RANGE = 2 ** 32;

/**
 * Each instance that follows the store asks it again after each change. Where
 * dozens do, it is cheaper that two in each data centre ask and tell the others.
 * Sixty-seven instances made 8,000 calls in 95 s by themselves.
 */
export class RelayRoster {
  private readonly seats = new Map<number, RelaySeat>();
  private readonly suspectedAtMs = new Map<InstanceId, number>();
  private readonly minFollowers: number;
  /** The seat that could be claimed, and since when. */
  private open:
    {readonly seat: RelaySeat; readonly sinceMs: number} | undefined;

  constructor(private readonly options: RelayRosterOptions) {
    this.minFollowers = options.minFollowers ?? DEFAULT_MIN_FOLLOWERS;
    const count = options.seats ?? DEFAULT_SEATS;
    for (let number = 0; number < count; number += 1) {
      this.seats.set(number, this.vacant(number, 0));
    }
  }

  /**
   * Whether there are enough instances for relays.
   *
   * @param instances undefined while nobody has counted them.
   */
  pays(instances: number | undefined): boolean {
    return instances !== undefined && instances >= this.paysFrom;
  }

  /** The number of instances from which relays pay. */
  get paysFrom(): number {
    return this.seats.size * this.minFollowers * this.options.dataCentres;
  }

  /** Whether a relay with so many followers saves more polls than it makes. */
  isWorthwhile(followers: number): boolean {
    return followers >= this.minFollowers;
  }

  /** Takes in a seat as the store has it; seats elsewhere don't matter. */
  learn(seat: RelaySeat): void {
    if (seat.dataCentre !== this.options.dataCentre) return;
    const known = this.seats.get(seat.number);
    if (known === undefined || known.version >= seat.version) return;
    this.seats.set(seat.number, seat);
  }

  /** Whether this instance has a seat. */
  get isRelay(): boolean {
    return this.ownSeat !== undefined;
  }

  get ownSeat(): RelaySeat | undefined {
    return [...this.seats.values()].find(
      ({holder}) => holder?.instance === this.options.instance,
    );
  }

  /** A relay could not be reached, or has gone silent. */
  noteFailed(relay: InstanceId, nowMs: number): void {
    this.suspectedAtMs.set(relay, nowMs);
  }

  /**
   * The relay to follow: the first that is sound, so that the others need not
   * ask the store for anybody.
   *
   * @returns undefined when there is none that is sound.
   */
  choose(nowMs: number): RelayHolder | undefined {
    return [...this.seats.values()]
      .map(({holder}) => holder)
      .filter(holder => holder !== undefined)
      .find(({instance}) => !this.isSuspected(instance, nowMs));
  }

  /**
   * A seat that this instance should take now: one that nobody has, or any when
   * no relay has been sound for a while.
   *
   * @param onlyFirst whether to consider only the first seat.
   */
  seatToClaim(nowMs: number, onlyFirst = false): RelaySeat | undefined {
    const open = this.isRelay ? undefined : this.findOpenSeat(nowMs);
    const seat = onlyFirst && open?.number !== 0 ? undefined : open;
    if (seat === undefined) {
      this.open = undefined;
      return undefined;
    }
    if (this.open?.seat !== seat) this.open = {seat, sinceMs: nowMs};
    if (nowMs - this.open.sinceMs < this.turnMs(seat)) return undefined;
    this.open = undefined;
    return seat;
  }

  private findOpenSeat(nowMs: number): RelaySeat | undefined {
    const seats = [...this.seats.values()];
    const vacant = seats.find(({holder}) => holder === undefined);
    const isServed = this.choose(nowMs) !== undefined;
    return vacant ?? (isServed ? undefined : seats[0]);
  }

  private turnMs(seat: RelaySeat): number {
    const hash = hashText(`${seat.number}/${this.options.instance}`);
    const weakness = 1 - this.options.strength;
    const share =
      STRENGTH_SHARE * weakness + (1 - STRENGTH_SHARE) * (hash / HASH_RANGE);
    return share * CLAIM_SPREAD_MS;
  }

  private isSuspected(instance: InstanceId, nowMs: number): boolean {
    const atMs = this.suspectedAtMs.get(instance) ?? Number.NEGATIVE_INFINITY;
    const forMs = this.options.suspectForMs ?? DEFAULT_SUSPECT_FOR_MS;
    return nowMs - atMs < forMs;
  }

  private vacant(number: number, version: number): RelaySeat {
    const {dataCentre} = this.options;
    return {dataCentre, number, holder: undefined, version};
  }
}
