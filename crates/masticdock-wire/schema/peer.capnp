@0xb7c1d0a4f2e96853;
# Messages between masticdock processes.
#
# Regenerate with `crates/masticdock-wire/generate.sh`.

# Digests are 32-byte BLAKE3 hashes. Revisions start at 1; 0 means "none".

enum MemberState {
  alive @0;
  suspect @1;
  dead @2;
  left @3;
}

enum MemberRole {
  entry @0;
  agent @1;
}

enum VmPhase {
  # Position of a VM in the switch state chart.
  idle @0;
  fetching @1;
  verified @2;
  draining @3;
  loading @4;
  serving @5;
  failed @6;
}

struct MemberUpdate {
  id @0 :Text;
  role @1 :MemberRole;
  state @2 :MemberState;
  incarnation @3 :UInt64;
  # Start of the process in milliseconds since the Unix epoch; tells restarts apart.
  bootEpoch @4 :UInt64;
  region @5 :Text;
  zone @6 :Text;
  # Peer address `ip:port`, the same port number for TCP and UDP.
  peerAddr @7 :Text;
  # HTTP address `ip:port` on which an agent takes requests; empty for entries.
  trafficAddr @8 :Text;
  # Raised by the member itself with each change of the fields below.
  statusSeq @9 :UInt64;
  phase @10 :VmPhase;
  # Version in service; empty when none.
  servingVersion @11 :Text;
  # True when the upstream takes no new work.
  leaving @12 :Bool;
  # Services and models this upstream answers for.
  services @13 :List(Text);
  # Rollout and version that failed to load here; empty when none.
  failedRollout @14 :Text;
  failedVersion @15 :Text;
}

struct StatusUpdate {
  # Status of a member whose other fields the receiver knows; a third of the
  # size of a MemberUpdate.
  id @0 :Text;
  bootEpoch @1 :UInt64;
  seq @2 :UInt64;
  phase @3 :VmPhase;
  leaving @4 :Bool;
  # Texts are empty when there is none.
  servingVersion @5 :Text;
  failedRollout @6 :Text;
  failedVersion @7 :Text;
}

struct CrashRecord {
  # Request fingerprint, 16 bytes.
  fingerprint @0 :Data;
  vm @1 :Text;
  atUnixMs @2 :UInt64;
}

struct DemandRecord {
  # Requests per second, in thousandths, that one entry sees for a workspace.
  entry @0 :Text;
  workspace @1 :Text;
  seq @2 :UInt64;
  rateMilli @3 :UInt64;
  inProgress @4 :UInt32;
}

struct Gossip {
  # One UDP datagram.
  from @0 :Text;
  seq @1 :UInt64;
  kind :union {
    ping @2 :Void;
    ack @3 :UInt64;
    # Asks the receiver to probe the member with this peer address.
    pingReq @4 :Text;
    push @5 :Void;
  }
  revision @6 :UInt64;
  updates @7 :List(MemberUpdate);
  crashes @8 :List(CrashRecord);
  demands @9 :List(DemandRecord);
  statuses @10 :List(StatusUpdate);
}

struct Change {
  revision @0 :UInt64;
  changeId @1 :Text;
  operator @2 :Text;
  acceptedAtUnixMs @3 :UInt64;
  # JSON array of resource changes, as stored in the table.
  body @4 :Text;
}

struct Resource {
  kind @0 :Text;
  name @1 :Text;
  revision @2 :UInt64;
  body @3 :Text;
}

interface Peer {
  # Changes above `revision` in order. `complete` is false when the sender no
  # longer holds them all; the caller then asks for `configuration`.
  changesSince @0 (revision :UInt64) -> (head :UInt64, changes :List(Change), complete :Bool);
  # The whole configuration at one revision.
  configuration @1 () -> (head :UInt64, resources :List(Resource));
  # One chunk by its digest. `busy` asks the caller to try elsewhere.
  chunk @2 (digest :Data, manifest :Data) -> (result :ChunkResult);
  # Exchanges have-bitmaps for one manifest; both sides learn the other's.
  announce @3 (from :Text, manifest :Data, have :Data) -> (have :Data);
  # Members known to the receiver, in pages of bounded size.
  members @4 (offset :UInt32) -> (updates :List(MemberUpdate), total :UInt32);
}

struct ChunkResult {
  union {
    data @0 :Data;
    absent @1 :Void;
    busy @2 :Void;
  }
}

interface Authenticator {
  # First call of a connection: the server's nonce.
  challenge @0 () -> (nonce :Data);
  # Keyed BLAKE3 of the nonce and the caller's id.
  authenticate @1 (id :Text, mac :Data) -> (peer :Peer);
}
