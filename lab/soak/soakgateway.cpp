#include "lab/soak/soakgateway.h"

#include "platform/standindialect.h"

#include <fstream>
#include <utility>

namespace Sequoiausher::Lab {

namespace {

constexpr int statusOk = 200;
constexpr std::uint32_t missesUntilOut = 2;
constexpr const char *loopback = "127.0.0.1";
/** Of every second gateway: with the usual notice, all unused connections have reached their idle limit before a stop
 * closes any. Longer than the balancer takes to see that it leaves. */
constexpr const char *shortNotice = "notice_ms = 800\n";

/** Every request asks an admission owner, and as many as possible are hedged. */
constexpr const char *reservingRules = "[rule engines]\nwhen.prompt_tokens = >0\nthen.pool = routed\n"
                                       "then.policy = room-rendezvous\nthen.bound_percent = 150\n"
                                       "then.cache_miss = copy\n"
                                       "[rule services]\nthen.pool = routed\nthen.policy = least-expected\n"
                                       "then.overload = reserve\nthen.hedge_percent = 50\n"
                                       "then.hedge_window_s = 600\n";

std::string local(const ReservedPort &port)
{
    return std::string(loopback) + ":" + std::to_string(port.number());
}

} // namespace

SoakGateway::SoakGateway(std::size_t given, std::string where, const Endpoint &store, const std::string &program)
    : number(given)
    , folder(std::move(where))
    , toStore(Endpoint{loopback, 0}, store)
    , fromPeers(Endpoint{hostOf(given), 0}, Endpoint{loopback, this->peerPort.number()})
    , fromCallers(Endpoint{loopback, 0}, Endpoint{loopback, this->callerPort.number()})
    , gateway("g" + std::to_string(given),
              program.empty() ? SEQUOIAUSHER_PROGRAM : program,
              {"gateway", "--config", this->folder + "/g" + std::to_string(given) + ".ini"},
              this->folder)
{
}

std::string SoakGateway::hostOf(std::size_t number)
{
    constexpr std::size_t perPart = 250;
    return "127.0." + std::to_string(1 + number / perPart) + "." + std::to_string(1 + number % perPart);
}

FakePath &SoakGateway::pathTo(const std::string &address)
{
    std::unique_ptr<FakePath> &path = this->paths[address];
    if (!path) {
        path = std::make_unique<FakePath>(address);
    }
    return *path;
}

void SoakGateway::configure(const std::vector<std::string> &seeds)
{
    std::string usedRules = this->rules.empty() ? SEQUOIAUSHER_GATEWAY_RULES : this->rules;
    if (this->reservesPlaces) {
        // A gateway that starts may read its own while the next one's is written.
        usedRules = this->folder + "/g" + std::to_string(this->number) + "-rules.ini";
        std::ofstream(usedRules) << reservingRules;
    }
    std::ofstream file(this->folder + "/g" + std::to_string(this->number) + ".ini");
    file << "[gateway]\nname = g" << this->number << "\ndata_centre = hall\naddress = " << local(this->callerPort)
         << "\nready_address = " << local(this->readyPort) << "\npeer_address = " << this->peerAddress()
         << "\ntunnel_port = " << this->tunnelPort << "\npeer_listen_address = " << local(this->peerPort)
         << (this->memoryMb > 0 ? "\nmemory_mb = " + std::to_string(this->memoryMb) : "")
         << (this->descriptors > 0 ? "\ndescriptors = " + std::to_string(this->descriptors) : "")
         << "\nrules = " << usedRules << "\n[store]\naddress = " << toText(this->toStore.listening())
         << "\n[peers]\nseeds = ";
    for (std::size_t i = 0; i < seeds.size(); ++i) {
        file << (i > 0 ? ", " : "") << seeds[i];
    }
    file << "\n[bounds]\nkey_freshness_ms = 5000\nrepeat_ratio = 0.2\nrepeat_slack = 54\nrepeat_window_s = 10\n"
         << "[stop]\ngrace_s = 8\n"
         << (this->number % 2 == 0 ? shortNotice : "") << "[log]\nrepeats_per_interval = 1000\n";
}

std::string SoakGateway::peerAddress() const
{
    return toText(this->fromPeers.listening());
}

std::string SoakGateway::callerAddress() const
{
    return local(this->callerPort);
}

std::string SoakGateway::readyAddress() const
{
    return local(this->readyPort);
}

void SoakGateway::start()
{
    this->starts += 1;
    this->isEndExpected = false;
    this->gateway.start();
}

LabProcess &SoakGateway::process()
{
    return this->gateway;
}

std::uint64_t SoakGateway::life() const
{
    return this->starts;
}

Relay &SoakGateway::storeLink()
{
    return this->toStore;
}

Relay &SoakGateway::peerLink()
{
    return this->fromPeers;
}

Relay &SoakGateway::callerLink()
{
    return this->fromCallers;
}

void SoakGateway::judgePoll()
{
    const bool isGood = this->question && this->question->reply.status == statusOk;
    this->misses = isGood ? 0 : this->misses + 1;
}

void SoakGateway::poll()
{
    if (this->question) {
        this->judgePoll();
    }
    this->question = std::make_unique<FakeCaller>(local(this->readyPort));
    this->question->send(StandInDialect::readinessRequest());
}

bool SoakGateway::isInRotation() const
{
    return this->misses < missesUntilOut;
}

SoakEntry SoakGateway::entry() const
{
    return {this->number, this->starts, toText(this->fromCallers.listening()), local(this->callerPort)};
}

} // namespace Sequoiausher::Lab
