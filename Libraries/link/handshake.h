#pragma once

#include "link/frame_io.h"
#include "link/peer_identity.h"
#include "wire/authenticator.h"

namespace cyclamenledge::link {

/// Mutual authentication of a new connection: both sides exchange their identities and prove that they have a shared
/// key. Fails with authentication_failed if the proof of the peer is wrong.
awaitable_result<peer_identity> connect_handshake(tcp::socket& socket, wire::authenticator const& authenticator,
                                                  peer_identity const& self);
awaitable_result<peer_identity> accept_handshake(tcp::socket& socket, wire::authenticator const& authenticator,
                                                 peer_identity const& self);

} // namespace cyclamenledge::link
