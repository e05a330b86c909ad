/** Stand-in for the platform's load balancer in front of the instances. */

import got from 'got';

/** Options of {@link Balancer}: the instances and how they are checked. */
export interface BalancerOptions {
  readonly urls: readonly string[];
  readonly checkEveryMs?: number;
  readonly timeoutMs?: number;
}

const DEFAULT_CHECK_EVERY_MS = 500;
const DEFAULT_TIMEOUT_MS = 1000;

/**
 * Round-robin over the instances whose last readiness check succeeded and that
 * have not refused a connection since; over all instances when there are none.
 */
export class Balancer {
  private readonly options: BalancerOptions;
  private readonly healthy: Set<string>;
  private next = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(options: BalancerOptions) {
    this.options = options;
    this.healthy = new Set(options.urls);
  }

  start(): void {
    this.timer = setInterval(() => {
      for (const url of this.options.urls) void this.check(url);
    }, this.options.checkEveryMs ?? DEFAULT_CHECK_EVERY_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Returns the URL of the instance that gets the next connection.
   *
   * @example
   * const url = balancer.pick();
   */
  pick(): string {
    const known = this.options.urls.filter(url => this.healthy.has(url));
    const urls = known.length > 0 ? known : this.options.urls;
    this.next += 1;
    return urls[this.next % urls.length];
  }

  /** Excludes an instance that refused a connection until a check succeeds. */
  reportRefused(url: string): void {
    this.healthy.delete(url);
  }

  private async check(url: string): Promise<void> {
    try {
      const request = this.options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
      await got(`${url}/readyz`, {retry: {limit: 0}, timeout: {request}});
      this.healthy.add(url);
    } catch {
      this.healthy.delete(url);
    }
  }
}
