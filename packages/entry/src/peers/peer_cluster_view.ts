/** Membership as known to the peer network. */

import type {PeerNetwork} from '@snipestage/peer/peer_network.js';
import type {Member} from '@snipestage/types/member.js';
import {ClusterView, type ClusterListener} from '../choose/cluster_view.js';

/** Includes suspected members until they are declared dead. */
export class PeerClusterView extends ClusterView {
  constructor(private readonly network: PeerNetwork) {
    super();
  }

  get self(): Member {
    return this.network.self();
  }

  live(): readonly Member[] {
    return this.present().filter(member => member.state !== 'leaving');
  }

  present(): readonly Member[] {
    return this.network.members().filter(member => member.state !== 'dead');
  }

  onChange(listener: ClusterListener): void {
    this.network.onMembersChanged(() => listener());
  }
}
