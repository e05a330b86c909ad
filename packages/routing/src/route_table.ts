/** Finds the route and the client account of a request. */

import type {ServiceId} from '@snipestage/types/ids.js';
import type {
  ClientAccountKeys,
  Route,
  RoutingConfiguration,
  Service,
} from './route.js';
import {UrgencyScale} from './urgency_scale.js';

/**
 * A configuration indexed for look-ups; each version gets a new table.
 *
 * A look-up costs one map access for each slash of the path, whatever the
 * number of routes.
 */
export class RouteTable {
  private readonly byHost = new Map<string, Map<string, Route>>();
  private readonly byKey = new Map<string, ClientAccountKeys>();
  private readonly services = new Map<ServiceId, Service>();
  readonly urgencyScale: UrgencyScale;

  constructor(readonly configuration: RoutingConfiguration) {
    this.urgencyScale = new UrgencyScale(configuration);
    for (const route of configuration.routes) this.addRoute(route);
    for (const account of configuration.clientAccounts ?? []) {
      for (const key of account.keys) this.byKey.set(key, account);
    }
    for (const service of configuration.services) {
      this.services.set(service.id, service);
    }
  }

  /**
   * The route of a host whose prefix is the longest that begins the path.
   *
   * @param path may carry a query.
   * @example
   * const route = table.findRoute('shop.example', '/quotes/7?full=1');
   */
  findRoute(host: string, path: string): Route | undefined {
    const prefixes = this.byHost.get(normaliseHost(host));
    if (prefixes === undefined) return undefined;
    const plainPath = path.split('?', 1)[0];
    let end = plainPath.lastIndexOf('/');
    while (end >= 0) {
      const route = prefixes.get(plainPath.slice(0, end + 1));
      if (route !== undefined) return route;
      end = end === 0 ? -1 : plainPath.lastIndexOf('/', end - 1);
    }
    return undefined;
  }

  /** Whether requests have to carry a key, unless their route is public. */
  get needsKeys(): boolean {
    return this.configuration.clientAccounts !== undefined;
  }

  /**
   * The account that holds a key in this version.
   *
   * @example
   * const account = table.findAccount(bearerKey);
   */
  findAccount(key: string): ClientAccountKeys | undefined {
    return this.byKey.get(key);
  }

  findService(id: ServiceId): Service | undefined {
    return this.services.get(id);
  }

  private addRoute(route: Route): void {
    const host = normaliseHost(route.host);
    const prefixes = this.byHost.get(host) ?? new Map<string, Route>();
    prefixes.set(route.pathPrefix, route);
    this.byHost.set(host, prefixes);
  }
}

/**
 * Host names are compared without case and port (RFC 9110, section 4.2.3).
 *
 * @example
 * normaliseHost('Shop.example:443'); // shop.example
 */
export function normaliseHost(host: string): string {
  return host.replace(/:\d*$/, '').toLowerCase();
}
