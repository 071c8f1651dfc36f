#ifndef CHALKWAY_EPOCH_H
#define CHALKWAY_EPOCH_H
/*
    chalkway_epoch.h -- epochs of a source that may be restored from a copy

    WHAT IT IS
        A source that was lost and is restored from an older copy of itself
        assigns the same revisions again, to other changes. Each restore
        begins a new epoch: a number in every response of the source, which
        rises by it. Revisions are only comparable within one epoch. So the
        response of one epoch to a request with a revision of another one
        proves nothing, and a response of an earlier epoch must be ignored.

    HOW TO USE IT
            cw_epoch_t life = {0};
            switch (cw_epoch_observe(&life, header)) { case CW_EPOCH_NEWER: ... }

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
    CW_EPOCH_SAME = 0, /* the current epoch, the first one that was seen, or the response names none */
    CW_EPOCH_NEWER,    /* the response is of a newer epoch, which is the current one from now on */
    CW_EPOCH_OLDER,    /* the response is of an earlier epoch */
    CW_EPOCH_MALFORMED /* not a positive integer: nothing changes */
} cw_epoch_verdict_t;

/* Checks the epoch that a response names, and updates the current one. text NULL: the response names none. */
cw_epoch_verdict_t cw_epoch_observe(cw_epoch_t* life, const char* text);

#endif /* CHALKWAY_EPOCH_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_EPOCH_IMPL_INCLUDED
#define CHALKWAY_EPOCH_IMPL_INCLUDED

#include <errno.h>
#include <stdlib.h>

cw_epoch_verdict_t cw_epoch_observe(cw_epoch_t* life, const char* text) {
    if (!text) {
        return CW_EPOCH_SAME;
    }
    char* end = NULL;
    errno = 0;
    long long number = strtoll(text, &end, 10);
    if (errno || end == text || *end || number <= 0) {
        return CW_EPOCH_MALFORMED;
    }
    if (number < life->number) {
        return CW_EPOCH_OLDER;
    }
    bool newer = life->number && number > life->number;
    life->number = number;
    return newer ? CW_EPOCH_NEWER : CW_EPOCH_SAME;
}

#endif /* CHALKWAY_EPOCH_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
