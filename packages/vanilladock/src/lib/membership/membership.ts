/**
 * Live entries, from heartbeats. An entry counts as live while its heartbeats are heard, on the
 * monotonic clock. Replayed heartbeats are refused: sequence numbers rise within one start of a peer,
 * a start that was followed by another is never taken again, and a heartbeat counts only when it names
 * the receiver's own start, which is drawn anew at each start.
 */
import { Map as ImmutableMap, Set as ImmutableSet } from 'immutable';

/** What an entry tells a peer. */
export interface Heartbeat {
  readonly id: string;
  /** Random number drawn when the sender started. */
  readonly epoch: number;
  /** The receiver's epoch as the sender knows it; 0 when it does not. */
  readonly receiverEpoch: number;
  readonly sequence: number;
  /** The sender takes no new requests. */
  readonly isLeaving: boolean;
  /** Offset of the last log record that the sender has applied; -1 for none. */
  readonly appliedOffset: number;
  /** Digest of the sender's folded state at that offset. */
  readonly digest: number;
  /** Requests running and waiting, by service. */
  readonly demand: ReadonlyMap<string, number>;
}

/** A peer as last heard. */
export interface Peer extends Heartbeat {
  /** When it was last heard, on the receiver's monotonic clock, in milliseconds. */
  readonly heardAtMs: number;
}

/** What is known of the peers. */
export interface Membership {
  readonly ownId: string;
  readonly ownEpoch: number;
  readonly peers: ImmutableMap<string, Peer>;
  /** Epochs of earlier starts, by peer. */
  readonly retired: ImmutableMap<string, ImmutableSet<number>>;
}

/** What became of a heartbeat. */
export type HeartbeatFate = 'accepted' | 'unproved' | 'replayed' | 'own';

/** Creates the membership of an entry that has heard nobody. */
export function createMembership(ownId: string, ownEpoch: number): Membership {
  return { ownId, ownEpoch, peers: ImmutableMap(), retired: ImmutableMap() };
}

/** Says whether a heartbeat may be taken in; `unproved` ones only show that the sender exists. */
export function checkHeartbeat(state: Membership, heartbeat: Heartbeat): HeartbeatFate {
  const { id, epoch, receiverEpoch, sequence } = heartbeat;
  if (id === state.ownId) return 'own';
  if (receiverEpoch !== state.ownEpoch) return 'unproved';
  if (state.retired.get(id)?.has(epoch) === true) return 'replayed';
  const known = state.peers.get(id);
  return known?.epoch === epoch && sequence <= known.sequence ? 'replayed' : 'accepted';
}

/** Takes in a heartbeat; one that is not accepted changes nothing. */
export function foldHeartbeat(state: Membership, heartbeat: Heartbeat, nowMs: number): Membership {
  if (checkHeartbeat(state, heartbeat) !== 'accepted') return state;
  const { id, epoch } = heartbeat;
  const known = state.peers.get(id);
  const retired =
    known === undefined || known.epoch === epoch
      ? state.retired
      : state.retired.update(id, ImmutableSet<number>(), (epochs) => epochs.add(known.epoch));
  return { ...state, retired, peers: state.peers.set(id, { ...heartbeat, heardAtMs: nowMs }) };
}

/** Lists the peers that were heard within the timeout, in the order of their ids. */
export function listLivePeers(
  state: Membership,
  nowMs: number,
  timeoutMs: number,
): readonly Peer[] {
  return [...state.peers.values()]
    .filter(({ heardAtMs }) => nowMs - heardAtMs < timeoutMs)
    .sort((a, b) => (a.id < b.id ? -1 : 1));
}

/**
 * Lists the peers to share slots with. The share of a lost peer is taken over only by an entry that
 * hears most of the peers that it knows; one that hears fewer may itself be the lost one, and keeps
 * sharing with all.
 */
export function listSharers(state: Membership, nowMs: number, timeoutMs: number): readonly Peer[] {
  const live = listLivePeers(state, nowMs, timeoutMs);
  const staying = [...state.peers.values()].filter(({ isLeaving }) => !isLeaving);
  const lost = staying.filter(({ heardAtMs }) => nowMs - heardAtMs >= timeoutMs);
  if (lost.length === 0 || live.length >= lost.length) return live;
  return [...live, ...lost].sort((a, b) => (a.id < b.id ? -1 : 1));
}
