/** @file Headers.cpp Compiles every public header of the package on its own. */
#include "kingcup/HttpListener.h"
#include "kingcup/HttpTypes.h"
#include "kingcup/JsonLog.h"
#include "kingcup/Link.h"
#include "kingcup/Metrics.h"
#include "kingcup/Refusal.h"
#include "kingcup/UpstreamClient.h"
