#include "testing/story.h"
