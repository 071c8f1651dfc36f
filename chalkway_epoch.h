#ifndef CHALKWAY_EPOCH_H
#define CHALKWAY_EPOCH_H
/*
    chalkway_epoch.h -- epochs of a source that may be restored from a copy

    WHAT IT IS
        A source that was lost and is restored from an older copy of itself
        assigns the same revisions again, to other changes. Each restore
        therefore begins a new epoch. Every response of the source carries
        the number of its epoch, which each restore increases. Revisions are
        comparable only within one epoch: a response of one epoch to a
        request that names a revision of another one proves nothing, and a
        response of an earlier epoch must be ignored.

    HOW TO USE IT
            cw_epoch_t epoch = {0};
            switch (cw_epoch_observe(&epoch, header)) { case CW_EPOCH_NEWER: ... }

    WHAT IT DOES NOT DO
        It doesn't parse responses, and never returns to an earlier epoch.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

/* Zero-initialized: no epoch is known yet. */
typedef struct cw_epoch_t {
    int64_t number;
} cw_epoch_t;

typedef enum cw_epoch_verdict_t {
    CW_EPOCH_SAME = 0, /* the current epoch, the first one received, or none in the response */
    CW_EPOCH_NEWER,    /* a newer epoch, which becomes the current one */
    CW_EPOCH_OLDER,    /* an earlier epoch: ignore the response */
    CW_EPOCH_MALFORMED /* not a positive integer: the current epoch stays */
} cw_epoch_verdict_t;

/* Compares the epoch number in a response with the current one, which a newer epoch replaces. text NULL: the response
   has none. */
cw_epoch_verdict_t cw_epoch_observe(cw_epoch_t* epoch, const char* text);

#endif /* CHALKWAY_EPOCH_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_EPOCH_IMPL_INCLUDED
#define CHALKWAY_EPOCH_IMPL_INCLUDED

#include <errno.h>
#include <stdlib.h>

cw_epoch_verdict_t cw_epoch_observe(cw_epoch_t* epoch, const char* text) {
    if (!text) {
        return CW_EPOCH_SAME;
    }
    char* end = NULL;
    errno = 0;
    long long number = strtoll(text, &end, 10);
    if (errno || end == text || *end || number <= 0) {
        return CW_EPOCH_MALFORMED;
    }
    if (number < epoch->number) {
        return CW_EPOCH_OLDER;
    }
    bool is_newer = epoch->number && number > epoch->number;
    epoch->number = number;
    return is_newer ? CW_EPOCH_NEWER : CW_EPOCH_SAME;
}

#endif /* CHALKWAY_EPOCH_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
