#include "lab/bench/slopes/processcost.h"
#include "lab/bench/slopes/slopes.h"
#include "sequoiausher/coordination/claims/claimant.h"
#include "sequoiausher/coordination/claims/witness.h"
#include "sequoiausher/protocol/codec/peercodec.h"

#include <stdexcept>

namespace Sequoiausher {

namespace {

ClaimKey key(std::uint64_t number)
{
    return claimKeyOf(OrganisationId{"bench"}, std::to_string(number));
}

std::vector<InstanceId> names(std::size_t count)
{
    std::vector<InstanceId> all;
    for (std::size_t i = 0; i < count; ++i) {
        all.push_back(InstanceId{"brest-1-router-" + std::to_string(i)});
    }
    return all;
}

/** A witness that votes, as one that is older than a claim's lifetime. */
std::unique_ptr<Witness> witness(const std::vector<InstanceId> &instances)
{
    auto made = std::make_unique<Witness>(instances.front(), ClaimParameters{}, Millis{0});
    made->assumeNoPriorClaims();
    made->setInstances(Millis{0}, makeInstanceList(instances));
    return made;
}

void vote(Witness &voter, std::uint64_t first, std::uint64_t count, const InstanceId &from)
{
    Outbox outbox;
    for (std::uint64_t i = first; i < first + count; ++i) {
        outbox.clear();
        voter.receive(Millis{1}, from, ClaimRequest{key(i), RequestId{i, i}, 1, 1}, outbox);
    }
}

double frame(const PeerMessage &message)
{
    constexpr std::size_t lengthPrefix = 4;
    return static_cast<double>(encodeFrame({&message, 1}).size() + lengthPrefix);
}

void claimBytes()
{
    const InstanceId holder{"brest-1-router-0017"};
    printFigure("claim_bytes_request", frame(ClaimRequest{key(1), RequestId{1, 2}, 1, 3}), "bytes");
    printFigure(
        "claim_bytes_vote", frame(ClaimVote{key(1), RequestId{1, 2}, 1, ClaimVerdict::Granted, {}, {}, {}}), "bytes");
    std::vector<SlopeSample> page;
    for (const std::size_t records : {1U, 16U, 64U, 256U}) {
        ClaimPage message;
        message.records.assign(records, ClaimRecord{key(1), RequestId{1, 2}, 1, 3, holder, Millis{9}});
        page.push_back({static_cast<double>(records), frame(message)});
    }
    printSlope("claim_bytes_handover_per_record", page, "bytes");
}

} // namespace

void measureWitness()
{
    std::vector<SlopeSample> memory;
    for (const std::uint64_t claims : {5000U, 20000U, 50000U, 100000U}) {
        const auto instances = names(7);
        const auto voter = witness(instances);
        const double before = heapBytes();
        vote(*voter, 0, claims, instances.back());
        if (voter->size() != claims) {
            throw std::runtime_error("a witness did not take every claim");
        }
        memory.push_back({static_cast<double>(claims), heapBytes() - before});
    }
    printSlope("witness_memory_per_claim", memory, "bytes");

    constexpr std::uint64_t votes = 10000;
    std::vector<SlopeSample> time;
    std::vector<SlopeSample> change;
    for (const std::size_t count : {7U, 100U, 500U, 1300U}) {
        const auto instances = names(count);
        const auto voter = witness(instances);
        const double before = processorMicros();
        vote(*voter, 0, votes, instances.back());
        time.push_back({static_cast<double>(count), (processorMicros() - before) / votes});
        const double started = processorMicros();
        voter->setInstances(Millis{2}, makeInstanceList(names(count + 1)));
        change.push_back({static_cast<double>(count), processorMicros() - started});
    }
    printSlope("witness_time_per_vote_by_routers", time, "us");
    printSlope("witness_list_change_time_by_routers", change, "us");
    claimBytes();
}

} // namespace Sequoiausher
