#pragma once

// The settings of one gateway, read from its INI file at start and again on SIGHUP. Every key, its unit, default and
// range stands in docs/CONFIGURATION.md. A key without a value counts as left out, since the file is filled in from a
// template whose values some platforms do not have.
//
//     const GatewaySettings settings = parseGatewaySettings(text, "gateway.ini");   // throws ProblemsError

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/base/ini/problem.h"
#include "sequoiausher/base/log/log.h"
#include "sequoiausher/base/millis.h"
#include "sequoiausher/coordination/gateway/coldtargetlimit.h"
#include "sequoiausher/coordination/gateway/retrybudgetshare.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** [store]: where configuration and targets are read. */
struct StoreSettings
{
    std::string address;
    /** How long a call may take. */
    Millis callTimeout{1200};
    /** How long one watch waits at the store; news of a target that leaves waits as long where a watch goes silent. */
    Millis watchTime{1400};
    /** How long the answer of a watch may take beyond that. */
    Millis watchDelay{500};
    /** The configuration is read where nobody has proven for so long that it is the newest. */
    Millis proofInterval{800};
};

/** [stop]: a planned stop. */
struct GatewayStopSettings
{
    /** After so long the process is killed; a part of it is kept back for the last answers. */
    Millis grace{8000};
    /** How long the platform may go on sending new connections after this gateway said that it is not ready. */
    Millis notice{3000};
};

/** All settings of a gateway. */
struct GatewaySettings
{
    InstanceId name;
    DataCentreId dataCentre;
    /** The region of each data centre; empty where no request is bound to regions. */
    std::map<DataCentreId, RegionId> regions;
    /** IP number and port for callers. */
    std::string address;
    /** IP number and port at which the platform asks whether this gateway is ready. */
    std::string readyAddress;
    /** IP number and port at which other gateways reach this one, and know it by. */
    std::string peerAddress;
    /** Where it listens for them, where that is another address, as behind a forwarded port; empty for peerAddress. */
    std::string peerListenAddress;
    /**
     * The port of peerAddress's IP number at which other gateways open tunnels to targets, the same for all gateways of
     * a fleet; 0 for no tunnels.
     */
    std::uint16_t tunnelPort = 0;
    /** IP number and port of the metrics page; empty for none. */
    std::string metricsAddress;
    /** The part of a core that the process has, and its link, in Mbit/s: what hubs are chosen by. */
    double processorShare = 1;
    double linkMbps = 1000;
    /** The most descriptors that the process may open; 0 for the limit of the operating system. */
    std::uint32_t descriptors = 0;
    /** The most memory that the process may take, in units of 2^20 bytes; 0 for no limit. */
    std::uint32_t memoryMb = 512;
    /** The file with the ordered rules; empty for the built-in ones. */
    std::string rulesFile;
    StoreSettings store;
    /** Addresses of a few gateways, by which all others are found. */
    std::vector<InstanceId> seeds;
    /** How long after its publication a change of keys may take to be in force. */
    Millis keyFreshness{5000};
    /** How long after the store's word that a target leaves it may get requests. */
    Millis leaveBound{2000};
    /** Whether cold targets get requests like other targets. */
    ColdTargetUse coldTargets = ColdTargetUse::Share;
    RetryBudgetShareSettings repeats;
    GatewayStopSettings stop;
    LogSettings log;
};

/** Reads text, appending everything that is wrong to problems; complete only where none is an error. */
GatewaySettings parseGatewaySettings(std::string_view text, const std::string &file, Problems &problems);

/** @throws ProblemsError with every problem, its step Settings and its peer the file. */
GatewaySettings parseGatewaySettings(std::string_view text, const std::string &file);

} // namespace Sequoiausher
