#pragma once

// What the section [log] says in every settings file. How a span is written differs from file to file, so each reads
// repeat_interval_ms itself.
//
//     readLogSection(section, settings.log);
//     readDuration(section, "repeat_interval_ms", range, settings.log.repeatInterval);

#include "sequoiausher/base/ini/inireader.h"
#include "sequoiausher/base/log/log.h"

namespace Sequoiausher {

/** Fills in the level, the format and how many repeats go out; what is wrong is reported to the section. */
void readLogSection(SectionReader &section, LogSettings &settings);

} // namespace Sequoiausher
