/** Duties that one instance performs for all have one holder at a time. */

import type {DutyCall} from '@snipestage/platform_stand_ins/provider_stand_in.js';
import {brandAs, type InstanceId} from '@snipestage/types/ids.js';
import type {History} from '../history.js';
import {Check, type Finding} from './check.js';

/** A usage window is never reported with two different figures. */
export class OneFigure extends Check {
  readonly name = 'one_figure';

  find(history: History): readonly Finding[] {
    const figures = new Map<number, string>();
    return history.dutyCalls.flatMap(({report, atMs, holder}) => {
      if (report === undefined) return [];
      const known = figures.get(report.window);
      figures.set(report.window, known ?? report.figure);
      const isOther = known !== undefined && known !== report.figure;
      const message = `window ${report.window} again by ${holder}`;
      return isOther ? [this.found(message, atMs)] : [];
    });
  }
}

/** A call sent before its sender was frozen may arrive after it was thawed. */
const IN_FLIGHT_CALL_MS = 300;

/** Holders neither overlap nor alternate within the time of a lease. */
export class OneHolder extends Check {
  readonly name = 'one_holder';

  find(history: History): readonly Finding[] {
    const bySubject = new Map<string, DutyCall[]>();
    for (const call of history.dutyCalls) {
      if (!this.counts(history, call)) continue;
      bySubject.set(call.subject, [
        ...(bySubject.get(call.subject) ?? []),
        call,
      ]);
    }
    return [...bySubject.values()].flatMap(calls => [
      ...this.findFallingTokens(calls),
      ...this.findAlternations(calls, history.bounds.leaseMs),
    ]);
  }

  private counts(history: History, {holder, atMs}: DutyCall): boolean {
    const {contactMs} = history.bounds;
    const sender = brandAs<InstanceId>(holder);
    const isSenderUndisturbed = history.isUndisturbed(
      [sender],
      atMs - IN_FLIGHT_CALL_MS,
      atMs,
    );
    const isPlatformUndisturbed = history.isUndisturbed(
      ['store', 'provider'],
      atMs - contactMs,
      atMs,
    );
    return isSenderUndisturbed && isPlatformUndisturbed;
  }

  private findFallingTokens(calls: readonly DutyCall[]): Finding[] {
    let highest = calls[0];
    return calls.flatMap(call => {
      const isLower = call.token < highest.token;
      const isShared =
        call.token === highest.token && call.holder !== highest.holder;
      const before = `${highest.token} of ${highest.holder}`;
      if (call.token > highest.token) highest = call;
      if (!isLower && !isShared) return [];
      const message = `${call.subject}: ${call.token} of ${call.holder} after ${before}`;
      return [this.found(message, call.atMs)];
    });
  }

  /** Finds a holder that acts again within a lease, after another one. */
  private findAlternations(
    calls: readonly DutyCall[],
    leaseMs: number,
  ): Finding[] {
    const holderChanges = calls.filter(
      ({holder}, index) => holder !== calls[index - 1]?.holder,
    );
    return holderChanges.flatMap((call, index) => {
      const first = holderChanges[index - 2];
      const isAlternation =
        first?.holder === call.holder && call.atMs - first.atMs < leaseMs;
      const message = `${call.subject}: ${call.holder} again`;
      return isAlternation ? [this.found(message, call.atMs)] : [];
    });
  }
}
