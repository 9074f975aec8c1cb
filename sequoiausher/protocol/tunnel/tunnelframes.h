#pragma once

// The protocol of a tunnel, a TCP connection over which one gateway reaches a target through another gateway. The
// opener sends the id of the target and then, once the tunnel is open, the bytes of its requests as they are. What
// comes back is framed, so that the end of the target's connection is told from the end of the tunnel: an answer
// without a length is complete only where the target itself closed its connection in order.
//
//     stream->write(encodeTunnelRequest(target));
//     TunnelReader reader("gateway 10.0.3.7:7100");
//     reader.read(stream->input());          // on each arrival
//     if (reader.state() == TunnelState::Open) { use(reader.bytes()); }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/nametable.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Sequoiausher {

/** What the opener of a tunnel knows of it. */
enum class TunnelState {
    /** The other gateway has not answered yet. */
    Opening,
    /** The other gateway has a connection to the target. */
    Open,
    /** The other gateway does not reach the target, or does not know it. */
    Unreachable,
    /** The target refused the other gateway's connection. */
    Refused,
    /** The target closed its connection in order, and everything that it sent before has arrived. */
    Finished,
};

template<>
inline constexpr auto nameTable<TunnelState> = std::to_array<NameEntry<TunnelState>>({
    {TunnelState::Opening, "opening"},
    {TunnelState::Open, "open"},
    {TunnelState::Unreachable, "unreachable"},
    {TunnelState::Refused, "refused"},
    {TunnelState::Finished, "finished"},
});

/** The first bytes that the opener sends. @param target at most 255 bytes long. */
std::string encodeTunnelRequest(const TargetId &target);

/**
 * Takes the tunnel request from the front of input; none until it is complete.
 * @throws Error(Step::Decode, peer, ...) for bytes that are no tunnel request.
 */
std::optional<TargetId> takeTunnelRequest(std::string &input, const std::string &peer);

/** A frame that tells the opener of a change: any state but Opening. */
std::string encodeTunnelState(TunnelState state);
/** Frames with bytes from the target. */
std::string encodeTunnelBytes(std::string_view bytes);

/** Reads the frames that the opener of a tunnel gets. */
class TunnelReader
{
public:
    /** @param peer names the other gateway in errors. */
    explicit TunnelReader(std::string peer);

    /**
     * Takes all complete frames from the front of input.
     * @throws Error(Step::Decode, peer, ...) for an unknown frame, or one that does not fit the state.
     */
    void read(std::string &input);
    TunnelState state() const;
    /** The bytes of the target that have arrived; the user erases what it took. */
    std::string &bytes();

private:
    void take(unsigned char kind, std::string_view body);

    std::string peer;
    TunnelState current = TunnelState::Opening;
    std::string arrived;
};

} // namespace Sequoiausher
