/** @file Headers.cpp Compiles every public header of the package on its own. */
#include "kingcup/DataFolder.h"
#include "kingcup/EnumNames.h"
#include "kingcup/Journal.h"
#include "kingcup/MillisecondClock.h"
#include "kingcup/RandomSource.h"
#include "kingcup/Rcu.h"
#include "kingcup/ResultCode.h"
