/** @file Headers.cpp Compiles every public header of the package on its own. */
#include "kingcup/HttpRules.h"
#include "kingcup/ManifestDigest.h"
#include "kingcup/ManifestParser.h"
#include "kingcup/ManifestTypes.h"
#include "kingcup/Settings.h"
