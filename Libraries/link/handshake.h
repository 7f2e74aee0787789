#pragma once

#include "link/frame_io.h"
#include "link/peer_identity.h"
#include "wire/authenticator.h"

namespace cyclamenledge::link {

/// Exchanges identities and proofs of the shared key. Both fail with authentication_failed when a proof is wrong.
awaitable_result<peer_identity> connect_handshake(tcp::socket& socket, wire::authenticator const& authenticator,
                                                  peer_identity const& self);
awaitable_result<peer_identity> accept_handshake(tcp::socket& socket, wire::authenticator const& authenticator,
                                                 peer_identity const& self);

} // namespace cyclamenledge::link
