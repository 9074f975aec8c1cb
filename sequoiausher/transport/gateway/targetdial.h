#pragma once

// Opens one connection to a target by the first way that works: directly, or by a tunnel through another gateway. The
// direct way comes first unless it is known to fail; another way is added once one has failed or takes long. Nothing is
// sent to the target before a way is open, so a request can wait for it whether or not it may run twice.
//
//     TargetDial dial(user, environment, target, DialWays::All);
//     dial.start(now);
//     // every 40 ms: dial.tick(now)

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/metrics/metrics.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/base/nametable.h"
#include "sequoiausher/coordination/gateway/connectionmemory.h"
#include "sequoiausher/coordination/gateway/gatewayconfiguration.h"
#include "sequoiausher/coordination/gateway/targetreachability.h"
#include "sequoiausher/coordination/gateway/tunnelpeers.h"
#include "sequoiausher/protocol/settings/gatewaysettings.h"
#include "sequoiausher/protocol/tunnel/tunnelframes.h"
#include "sequoiausher/transport/stream/bytestream.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace Sequoiausher {

/** After this time without a sign of the other gateway's machine, both ends of a tunnel take it for dead. */
inline constexpr Millis tunnelDeadPeerTime{5000};

/** What all dials of one gateway share. */
struct DialEnvironment
{
    TargetReachability &reachability;
    TunnelPeers &tunnels;
    const GatewaySettings &settings;
    Metrics &metrics;
    std::mt19937_64 &random;
    /** What the memory and the descriptors of the settings allow. */
    ConnectionMemory memory{{}};
    /** Connections to targets, those that are being opened among them. */
    std::size_t openConnections = 0;
    /** The total into which the bytes of connections to targets count; null for none. */
    std::shared_ptr<std::size_t> heldTotal;
    /** Returns the descriptors of all connections of the gateway. */
    std::function<OpenDescriptors()> openDescriptors = [] { return OpenDescriptors{}; };
};

/** The ways that a dial may take. */
enum class DialWays {
    All,
    /** The direct one only, to find out whether it works again. */
    Direct,
};

/** An open connection to a target. */
struct DialledTarget
{
    std::shared_ptr<ByteStream> stream;
    /** Reads what comes over the stream, if it is a tunnel. */
    std::optional<TunnelReader> tunnel;
    /** The gateway that the tunnel goes through; empty for a direct connection. */
    InstanceId through;
};

/** Why a dial failed. */
enum class DialFailure {
    /** The target refused, also where another gateway dialled it: its process has ended. */
    Refused,
    /** No way reached the target. */
    Unreached,
};

template<>
inline constexpr auto nameTable<DialFailure> = std::to_array<NameEntry<DialFailure>>({
    {DialFailure::Refused, "refused"},
    {DialFailure::Unreached, "unreached"},
});

/** Receives the result of a dial, once. Must not destroy the dial during the call. */
class TargetDialUser
{
public:
    virtual ~TargetDialUser() = default;
    virtual void dialled(DialledTarget opened) = 0;
    virtual void dialFailed(DialFailure why) = 0;
};

/** One dial. */
class TargetDial
{
public:
    /** user and environment outlive this. */
    TargetDial(TargetDialUser &user, DialEnvironment &environment, const GatewayTarget &target, DialWays ways);
    ~TargetDial();
    TargetDial(const TargetDial &) = delete;
    TargetDial &operator=(const TargetDial &) = delete;

    /** Starts the first way; the user hears nothing during this call. @throws Error(Step::Connect, ...) if none starts.
     */
    void start(Millis now);
    /** Adds a way if the last one takes long. */
    void tick(Millis now);
    /** Closes everything. If the dial has taken long enough, the target counts as not reached. */
    void giveUp(Millis now);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
