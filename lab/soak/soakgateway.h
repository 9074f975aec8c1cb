#pragma once

// One real gateway of a soak: its process, its settings, and relays on its ways to the store, to peers and to callers.
//
//     SoakGateway gateway(0, folder, storeEndpoint);
//     gateway.configure(seeds);
//     gateway.start();
//     gateway.storeLink().setLink({LinkMode::Silent, {}});

#include "lab/fleet/labprocess.h"
#include "lab/fleet/reservedport.h"
#include "lab/relay/relay.h"
#include "lab/soak/calldraw.h"
#include "sequoiausher/transport/gateway/fakepath.h"
#include "sequoiausher/transport/stream/fakehttp.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Sequoiausher::Lab {

/** See above. Needs a running event loop. */
class SoakGateway
{
public:
    /** @param program the gateway to play; empty for the one that was built with the soak. */
    SoakGateway(std::size_t number, std::string folder, const Endpoint &store, const std::string &program);
    /** Gateways listen for tunnels at the same port, so each has an IP number of its own for that. */
    static std::string hostOf(std::size_t number);
    /** Its path to the target at this address; made where there is none yet. */
    FakePath &pathTo(const std::string &address);
    std::map<std::string, std::unique_ptr<FakePath>> paths;
    /** Gateways open tunnels through each other at this port; 0 for none. */
    std::uint16_t tunnelPort = 0;
    /** The rules reserve places at admission owners, in place of the shipped rules. */
    /** The most memory that it may take, in units of 2^20 bytes; 0 for its default. */
    std::size_t memoryMb = 0;
    /** The most descriptors that it may open; 0 for its default. */
    std::size_t descriptors = 0;
    bool reservesPlaces = false;
    /** The rules that it reads where it reserves none; empty for those that are shipped. */
    std::string rules;

    /** Writes its settings file. */
    void configure(const std::vector<std::string> &seeds);
    std::string peerAddress() const;
    /** The addresses at which callers and the balancer reach it without a relay. */
    std::string callerAddress() const;
    std::string readyAddress() const;
    void start();
    LabProcess &process();
    /** Counts the starts. */
    std::uint64_t life() const;

    Relay &storeLink();
    Relay &peerLink();
    Relay &callerLink();

    /** Asks whether it is ready, as a balancer does: out after two misses, in after one good answer. */
    void poll();
    bool isInRotation() const;
    SoakEntry entry() const;

    /** It was told to stop, or is kept down: its end is expected. */
    bool isEndExpected = false;
    Millis stopAsked;
    /** It is asked to stop again so long after its next start. */
    std::optional<Millis> stopsAfterStart;

private:
    void judgePoll();

    std::size_t number;
    std::string folder;
    ReservedPort callerPort;
    ReservedPort readyPort;
    ReservedPort peerPort;
    Relay toStore;
    Relay fromPeers;
    Relay fromCallers;
    LabProcess gateway;
    std::uint64_t starts = 0;
    std::unique_ptr<FakeCaller> question;
    std::uint32_t misses = 2;
};

} // namespace Sequoiausher::Lab
