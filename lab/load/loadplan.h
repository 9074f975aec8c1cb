#pragma once

// What the load tool sends: a seeded sequence of requests from organisations, classes and chats that return with a
// longer prompt each time. No sockets and no clock, so that a seed gives the same requests again.
//
//     LoadPlan plan(options, 0);
//     const PlannedRequest request = plan.next();
//     plan.answered(request, "echo-w0-1 t1 ");

#include "sequoiausher/base/requestclass.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Sequoiausher::Lab {

/** An organisation, its key and its share of the requests. */
struct LoadOrganisation
{
    std::string name;
    std::string key;
    double weight = 1;
};

/** Parses NAME:KEY or NAME:KEY:WEIGHT. Throws Error (step settings). */
LoadOrganisation parseOrganisation(const std::string &text);

/** What to send. Shares lie between 0 and 1. */
struct LoadPlanOptions
{
    std::vector<std::string> urls;
    std::vector<LoadOrganisation> organisations;
    /** In the order of RequestClass. */
    std::array<double, requestClassCount> classWeights{0, 1, 0};
    std::string model = "model";
    std::string servicePath = "/service/call";
    std::uint64_t seed = 1;
    /** Chats of each organisation that are under way at a time. */
    std::size_t chats = 100;
    /** Turns after which a chat is over and a new one takes its place. */
    std::size_t turns = 8;
    std::size_t promptWords = 200;
    std::size_t tokens = 32;
    double streamShare = 1;
    double keyedShare = 0;
    /** Of the keyed requests: how many are sent twice. */
    double duplicateShare = 0;
    double serviceShare = 0;
};

/** One request to be sent. */
struct PlannedRequest
{
    std::size_t organisation = 0;
    RequestClass requestClass = RequestClass::Interactive;
    std::size_t url = 0;
    /** Index of the chat among the organisation's. */
    std::size_t chatSlot = 0;
    std::string chat;
    std::string nonce;
    /** Empty where the request has none. */
    std::string idempotencyKey;
    std::string body;
    bool stream = true;
    bool service = false;
    /** Whether it is to be sent a second time, to url duplicateUrl. */
    bool sendTwice = false;
    std::size_t duplicateUrl = 0;
};

/** The requests of one worker. */
class LoadPlan
{
public:
    /** @param worker tells the nonces, chats and keys of workers apart. */
    LoadPlan(LoadPlanOptions options, std::size_t worker);
    ~LoadPlan();
    LoadPlan(LoadPlan &&) noexcept;
    LoadPlan &operator=(LoadPlan &&) noexcept;

    PlannedRequest next();
    /** Lengthens the request's chat by its answer, so that the next turn repeats both. */
    void answered(const PlannedRequest &request, const std::string &answer);
    /** The time in seconds until the next arrival of an open loop of rate requests a second (exponential). */
    double nextGap(double rate);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher::Lab
