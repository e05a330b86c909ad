/** A TCP path that a case can cut. */

import {connect, createServer} from 'node:net';

/**
 * Relays connections to a target. While it is cut, new connections are refused;
 * what is under way on the open ones, ends included, is held and delivered in
 * order once the path is back, as TCP sends it again until it is acknowledged.
 */
export class Way {
  constructor(host, targetPort) {
    this.host = host;
    this.targetPort = targetPort;
    this.isCut = false;
    this.held = [];
    this.sockets = new Set();
  }

  async open(port = 0) {
    this.server = createServer({allowHalfOpen: true}, client =>
      this.accept(client),
    );
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, this.host, resolve);
    });
    this.port = this.server.address().port;
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  cut() {
    this.isCut = true;
    this.server.close();
  }

  async heal() {
    await this.open(this.port);
    this.isCut = false;
    for (const act of this.held.splice(0)) act();
  }

  close() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  accept(client) {
    const target = connect({
      host: this.host,
      port: this.targetPort,
      allowHalfOpen: true,
    });
    this.forward(client, target);
    this.forward(target, client);
  }

  forward(from, to) {
    this.sockets.add(from);
    from.once('close', () => this.sockets.delete(from));
    from.setNoDelay(true);
    from.on('data', bytes => this.deliver(() => to.write(bytes)));
    // Without a peer address the connection was reset, not closed.
    from.on('end', () => {
      const isReset = from.remoteAddress === undefined;
      this.deliver(() => (isReset ? reset(to) : to.end()));
    });
    from.on('error', () => this.deliver(() => reset(to)));
  }

  deliver(act) {
    if (this.isCut) this.held.push(act);
    else act();
  }
}

function reset(socket) {
  if (!socket.destroyed) socket.resetAndDestroy();
}
