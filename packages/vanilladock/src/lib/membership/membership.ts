/**
 * Membership of live entries, from heartbeats. A peer is live until the timeout after its last
 * accepted heartbeat, on the monotonic clock. Replayed heartbeats are rejected: sequence numbers
 * increase within an epoch of a peer, an epoch that was followed by another is never accepted
 * again, and a heartbeat counts only when it names the receiver's current epoch. Epochs are drawn
 * at random at each start.
 */
import { Map as ImmutableMap, Set as ImmutableSet } from 'immutable';

/** A heartbeat that an entry sends to a peer. */
export interface Heartbeat {
  readonly id: string;
  /** Random number that the sender drew at its start. */
  readonly epoch: number;
  /** The receiver's epoch as known to the sender; 0 when unknown. */
  readonly receiverEpoch: number;
  /** Increases with each heartbeat within an epoch. */
  readonly sequence: number;
  /** Whether the sender is leaving and accepts no new requests. */
  readonly isLeaving: boolean;
  /** Offset of the last log record that the sender has applied; -1 for none. */
  readonly appliedOffset: number;
  /** Digest of the sender's folded state at that offset. */
  readonly digest: number;
  /** Number of running and waiting requests, by service. */
  readonly demand: ReadonlyMap<string, number>;
}

/** A peer as of its last accepted heartbeat. */
export interface Peer extends Heartbeat {
  /** Time of the last accepted heartbeat on the receiver's monotonic clock, in milliseconds. */
  readonly lastReportMs: number;
}

/** Membership as known to one entry. */
export interface Membership {
  readonly ownId: string;
  /** Random number that this entry drew at its start. */
  readonly ownEpoch: number;
  /** Peers by id, also those whose timeout has passed. */
  readonly peers: ImmutableMap<string, Peer>;
  /** Epochs of earlier starts, by peer id; their heartbeats are rejected as replayed. */
  readonly retiredEpochs: ImmutableMap<string, ImmutableSet<number>>;
}

/**
 * Outcome of a heartbeat check: `unproved` when it does not name the receiver's current epoch,
 * `replayed` when its epoch or sequence number is out of date, `own` when it bears the receiver's
 * own id.
 */
export type HeartbeatOutcome = 'accepted' | 'unproved' | 'replayed' | 'own';

/** Creates the membership of an entry that has received no heartbeats. */
export function createMembership(ownId: string, ownEpoch: number): Membership {
  return { ownId, ownEpoch, peers: ImmutableMap(), retiredEpochs: ImmutableMap() };
}

/** Decides whether to accept a heartbeat; an `unproved` one only shows that the sender exists. */
export function checkHeartbeat(state: Membership, heartbeat: Heartbeat): HeartbeatOutcome {
  const { id, epoch, receiverEpoch, sequence } = heartbeat;
  if (id === state.ownId) return 'own';
  if (receiverEpoch !== state.ownEpoch) return 'unproved';
  if (state.retiredEpochs.get(id)?.has(epoch) === true) return 'replayed';
  const known = state.peers.get(id);
  return known?.epoch === epoch && sequence <= known.sequence ? 'replayed' : 'accepted';
}

/**
 * Folds a heartbeat that arrived at `nowMs` on the monotonic clock; one that is not accepted
 * changes nothing. A new epoch of a known peer retires its epoch before.
 */
export function foldHeartbeat(state: Membership, heartbeat: Heartbeat, nowMs: number): Membership {
  if (checkHeartbeat(state, heartbeat) !== 'accepted') return state;
  const { id, epoch } = heartbeat;
  const known = state.peers.get(id);
  const retiredEpochs =
    known === undefined || known.epoch === epoch
      ? state.retiredEpochs
      : state.retiredEpochs.update(id, ImmutableSet<number>(), (epochs) => epochs.add(known.epoch));
  return {
    ...state,
    retiredEpochs,
    peers: state.peers.set(id, { ...heartbeat, lastReportMs: nowMs }),
  };
}

/**
 * Lists the peers with a heartbeat within the timeout, also those that are leaving, ordered by id.
 * Times are on the monotonic clock, in milliseconds.
 */
export function listLivePeers(
  state: Membership,
  nowMs: number,
  timeoutMs: number,
): readonly Peer[] {
  return [...state.peers.values()]
    .filter(({ lastReportMs }) => nowMs - lastReportMs < timeoutMs)
    .sort((a, b) => (a.id < b.id ? -1 : 1));
}

/**
 * Lists the peers to share slots with, ordered by id. An entry takes over the share of lost peers
 * only while at least as many peers are live as lost. With fewer, the entry itself may be the one
 * that is cut off, and it keeps sharing with all. Lost peers that were leaving never count.
 */
export function listSharers(state: Membership, nowMs: number, timeoutMs: number): readonly Peer[] {
  const live = listLivePeers(state, nowMs, timeoutMs);
  const staying = [...state.peers.values()].filter(({ isLeaving }) => !isLeaving);
  const lost = staying.filter(({ lastReportMs }) => nowMs - lastReportMs >= timeoutMs);
  if (lost.length === 0 || live.length >= lost.length) return live;
  return [...live, ...lost].sort((a, b) => (a.id < b.id ? -1 : 1));
}
