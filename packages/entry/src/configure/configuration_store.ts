/** The configuration in force at this instance. */

import {emptyConfiguration} from '@snipestage/configuration/configuration.js';
import {KeyIndex} from '@snipestage/configuration/key_hash.js';
import type {Configuration} from '@snipestage/types/configuration.js';
import type {Revision} from '@snipestage/types/ids.js';

/** Called with each configuration that comes into force. */
export type ConfigurationListener = (configuration: Configuration) => void;

/** Holds the newest configuration seen; never reverts to an older one. */
export class ConfigurationStore {
  private configuration = emptyConfiguration();
  private index = new KeyIndex(this.configuration);
  private readonly listeners: ConfigurationListener[] = [];
  private confirmedAtMs = Number.NEGATIVE_INFINITY;

  get current(): Configuration {
    return this.configuration;
  }

  get revision(): Revision {
    return this.configuration.revision;
  }

  get keys(): KeyIndex {
    return this.index;
  }

  /**
   * Monotonic time at which the platform, or a peer that reached it, last
   * confirmed the configuration; negative infinity if never.
   */
  get lastConfirmedAtMs(): number {
    return this.confirmedAtMs;
  }

  /**
   * Puts a configuration in force if it is newer than the current one, and
   * returns whether it is. Pushes, gossip and reads can overtake one another;
   * an older configuration put in force late would make a withdrawn key valid
   * again.
   */
  apply(configuration: Configuration): boolean {
    if (configuration.revision <= this.configuration.revision) return false;
    this.configuration = configuration;
    this.index = new KeyIndex(configuration);
    for (const listener of this.listeners) listener(configuration);
    return true;
  }

  confirm(atMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
  }

  onChange(listener: ConfigurationListener): void {
    this.listeners.push(listener);
  }
}
