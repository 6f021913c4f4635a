@0xdc167e8f7681d8dc;

# What two instances say to each other. Regenerate src/peer_capnp.rs after a change; the crate's
# README says how. Raise PROTOCOL_VERSION in src/peer_proof.rs when old instances can't follow.

enum Channel {
  agreement @0;
  text @1;
  lease @2;
  membership @3;
  claim @4;
  demand @5;
  report @6;
  admin @7;
}

# Who speaks. The protocol's version stays field 0 of this struct in all versions.
struct Hello {
  protocol @0 :UInt32;
  group @1 :Text;
  instance @2 :Text;
  incarnation @3 :UInt64;
  challenge @4 :Data;
}

# The first object of a connection, before either side is known.
interface Gate {
  # Exchanges names and challenges.
  greet @0 (hello :Hello) -> (answer :GreetAnswer);

  # Proves that the client knows the secret; the answer proves the same of the server.
  enter @1 (proof :Data) -> (answer :EnterAnswer);
}

struct GreetAnswer {
  union {
    welcome @0 :Hello;
    wrongGroup @1 :Text;
    wrongVersion @2 :UInt32;
    notLoopback @3 :Void;
  }
}

struct EnterAnswer {
  union {
    entered :group {
      session @0 :Session;
      proof @1 :Data;
    }
    wrongSecret @2 :Void;
  }
}

# A connection whose two sides know each other.
interface Session {
  # A call whose body fits one piece.
  call @0 (channel :UInt16, body :Data) -> (answer :CallAnswer);

  # A call whose body comes in pieces.
  upload @1 (channel :UInt16, size :UInt32) -> (answer :UploadAnswer);

  # Answers at once, without the handler.
  probe @2 () -> ();
}

struct UploadAnswer {
  union {
    upload @0 :Upload;
    failure @1 :Failure;
  }
}

interface Upload {
  # Adds the next piece.
  write @0 (piece :Data) -> ();

  # Runs the call.
  finish @1 () -> (answer :CallAnswer);
}

struct CallAnswer {
  union {
    # The whole answer.
    whole @0 :Data;

    # An answer that is read in pieces.
    pieces :group {
      size @1 :UInt32;
      download @2 :Download;
    }

    # The handler refused the call, for this reason.
    refused @3 :Text;

    # The call didn't reach the handler.
    failure @4 :Failure;
  }
}

interface Download {
  # The next piece, empty after the last one.
  read @0 () -> (piece :Data);
}

# Why a call didn't reach the handler.
enum Failure {
  overloaded @0;
  tooLarge @1;
  unknownChannel @2;
  shuttingDown @3;
  handlerFailed @4;
}
