#pragma once

// The parts of slopesbench, one for each role. Each runs the real component at several sizes, prints a line for each
// slope, and throws std::runtime_error where it could not measure.
//
//     printSlope("owner_memory_per_target", samples, "bytes");

#include "lab/bench/slopes/slopefit.h"

#include <string>
#include <vector>

namespace Sequoiausher {

/**
 * Fits and prints NAME, NAME_at_0 and NAME_residual.
 * @param unit of the cost; the size's unit is in the name.
 */
void printSlope(const std::string &name, const std::vector<SlopeSample> &samples, const std::string &unit);
void printFigure(const std::string &name, double value, const std::string &unit);

/** Counts of targets: what an admission owner and every router's map of shards cost. */
void measureAdmission();
/** Claims: memory, time and bytes of a vote. */
void measureWitness();
/** Membership and the spread of documents, and how many calls the readers make. */
void measureRelay();
/** Compiling and swapping a configuration. */
void measureConfiguration();
/** Connections between routers, on loopback. Needs a QCoreApplication. */
void measureLinks();
/** Signs of life among routers at the target size, in simulated time; a part of measureLinks(). */
void measureSigns();
/** What an entry keeps of answers and reservations. */
void measureEntry();

} // namespace Sequoiausher
