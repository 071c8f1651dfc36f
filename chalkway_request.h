#ifndef CHALKWAY_REQUEST_H
#define CHALKWAY_REQUEST_H
/*
    chalkway_request.h -- state machine of one request, from accept to last byte

    WHAT IT IS
        The state machine of a request at its entry, the host that accepted
        it from the caller. It takes events and returns a set of actions. The
        outcome reported to the caller is derived from the recorded facts in
        one place, cw_request_outcome.

            state        meaning
            new          accepted, no slot requested yet
            waiting      a slot request is with the allocator
            connecting   a slot is held; this attempt has sent nothing yet
            sent         sending the request to an upstream has begun
            streaming    the response has begun to arrive
            detached     the caller has its outcome or has closed its
                         connection; a non-repeatable call runs on
            ended        the outcome is final

    HOW TO USE IT
            cw_request_t r = cw_request_new(&(cw_request_desc_t){.repeatable = true, .max_attempts = 3});
            uint32_t actions = cw_request_event(&r, CW_EV_START);
            if (actions & CW_DO_REQUEST_SLOT) { ... }

    WHAT IT DOES NOT DO
        No timers, sockets or bodies. The owner sets is_retry_allowed before
        each event, from its retry budget.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

typedef enum cw_request_state_t {
    CW_REQ_NEW = 0,
    CW_REQ_WAITING,
    CW_REQ_CONNECTING,
    CW_REQ_SENT,
    CW_REQ_STREAMING,
    CW_REQ_DETACHED,
    CW_REQ_ENDED,
    CW_REQ_STATE_COUNT
} cw_request_state_t;

typedef enum cw_request_event_t {
    CW_EV_START = 0,       /* request a slot */
    CW_EV_GRANT,           /* a slot was granted, by the allocator or in direct mode */
    CW_EV_REFUSED,         /* refused by the allocator or by a limit of the entry */
    CW_EV_SENDING,         /* the first byte is about to be sent to the upstream */
    CW_EV_GRANT_EXPIRED,   /* the grant expired before the first byte was sent */
    CW_EV_CONNECT_FAILED,  /* no connection; nothing was sent */
    CW_EV_UPSTREAM_FAILED, /* the upstream failed after the first byte was sent */
    CW_EV_REJECTED,        /* the upstream reported that it did not run this attempt */
    CW_EV_RESPONSE_HEAD,   /* the response's status and headers arrived */
    CW_EV_BODY_FORWARDED,  /* a byte of the response body was forwarded to the caller */
    CW_EV_RESPONSE_END,    /* the response arrived completely */
    CW_EV_PREEMPTED,       /* the allocator reclaims the slot */
    CW_EV_DEADLINE,
    CW_EV_CALLER_CLOSED, /* the caller closed its connection */
    CW_EV_COUNT
} cw_request_event_t;

/* Actions, to be executed in this order. */
enum {
    CW_DO_ABORT = 1,               /* cancel the transfer to the upstream */
    CW_DO_RELEASE_SLOT = 2,        /* release the slot */
    CW_DO_CANCEL_SLOT_REQUEST = 4, /* cancel the slot request */
    CW_DO_REQUEST_SLOT = 8,        /* send a slot request */
    CW_DO_CONNECT = 16,            /* start the transfer */
    CW_DO_RELEASE_NEW_SLOT = 32,   /* release the slot that was just granted: it is not needed */
    CW_DO_RESPOND = 64             /* report the outcome to the caller: complete, abort or refuse the response */
};

typedef enum cw_outcome_t {
    CW_OUTCOME_NONE = 0,
    CW_OUTCOME_DELIVERED, /* the complete response arrived */
    CW_OUTCOME_NOT_RUN,   /* no upstream can have run it: nothing was sent, or what was sent was rejected */
    CW_OUTCOME_FAILED,    /* it ran; the response is lost or partial */
    CW_OUTCOME_UNKNOWN,   /* it was sent and no response arrived: it may have run */
    CW_OUTCOME_COUNT
} cw_outcome_t;

typedef struct cw_request_desc_t {
    bool repeatable;             /* the request may be run a second time */
    bool resumable;              /* a broken stream can be resumed where it broke */
    bool cancel_on_caller_close; /* cancel even a non-repeatable run when the caller no longer waits for it */
    bool counts_sent_only;       /* count an attempt only once its first byte is sent */
    uint32_t max_attempts;       /* default 3 */
} cw_request_desc_t;

typedef struct cw_request_t {
    cw_request_state_t state;
    bool repeatable;
    bool resumable;
    bool cancel_on_caller_close;
    bool counts_sent_only;
    bool is_retry_allowed;   /* set by the owner: the retry budget permits another attempt */
    bool has_sent_bytes;     /* bytes were sent to an upstream, in an attempt that it did not reject */
    bool had_sent_bytes;     /* value of has_sent_bytes when the current attempt began to send */
    bool has_response_head;  /* a response head arrived, in any attempt */
    bool has_forwarded_body; /* a byte of the response body was forwarded to the caller */
    bool is_complete;        /* the response arrived completely */
    uint32_t attempts; /* without those that were rejected after an earlier one may have run, with counts_sent_only */
    uint32_t max_attempts;
} cw_request_t;

cw_request_t cw_request_new(const cw_request_desc_t* desc);
/* Returns a set of CW_DO_... */
uint32_t cw_request_event(cw_request_t* request, cw_request_event_t event);
/* Outcome that the facts recorded so far prove. */
cw_outcome_t cw_request_outcome(const cw_request_t* request);
const char* cw_request_state_name(cw_request_state_t state);
const char* cw_request_event_name(cw_request_event_t event);
/* Value of the header Chalkway-Outcome: delivered, not-run, failed or unknown. */
const char* cw_outcome_name(cw_outcome_t outcome);

#endif /* CHALKWAY_REQUEST_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_REQUEST_IMPL_INCLUDED
#define CHALKWAY_REQUEST_IMPL_INCLUDED

#include <assert.h>

cw_request_t cw_request_new(const cw_request_desc_t* desc) {
    return (cw_request_t){.repeatable = desc->repeatable,
                          .resumable = desc->resumable,
                          .cancel_on_caller_close = desc->cancel_on_caller_close,
                          .counts_sent_only = desc->counts_sent_only,
                          .max_attempts = desc->max_attempts ? desc->max_attempts : 3,
                          .is_retry_allowed = true};
}

const char* cw_request_state_name(cw_request_state_t state) {
    static const char* const names[CW_REQ_STATE_COUNT] = {"new",       "waiting",  "connecting", "sent",
                                                          "streaming", "detached", "ended"};
    return ((unsigned)state < CW_REQ_STATE_COUNT) ? names[state] : "?";
}

const char* cw_request_event_name(cw_request_event_t event) {
    static const char* const names[CW_EV_COUNT] = {
        "start",    "grant", "refused",        "sending", "grant-expired", "connect-failed", "broken",
        "rejected", "head",  "delivered-part", "end",     "preempted",     "deadline",       "gone"};
    return ((unsigned)event < CW_EV_COUNT) ? names[event] : "?";
}

const char* cw_outcome_name(cw_outcome_t outcome) {
    static const char* const names[CW_OUTCOME_COUNT] = {"none", "delivered", "not-run", "failed", "unknown"};
    return ((unsigned)outcome < CW_OUTCOME_COUNT) ? names[outcome] : "?";
}

cw_outcome_t cw_request_outcome(const cw_request_t* r) {
    if (r->is_complete) {
        return CW_OUTCOME_DELIVERED;
    }
    if (!r->has_sent_bytes) {
        return CW_OUTCOME_NOT_RUN;
    }
    return r->has_response_head ? CW_OUTCOME_FAILED : CW_OUTCOME_UNKNOWN;
}

/* Another attempt is safe when nothing has run. A repeatable request may also be retried while no byte of the
   response body was forwarded to the caller, or if the response can be resumed where it broke. */
static bool _cw_request_may_retry(const cw_request_t* r) {
    bool is_safe = !r->has_sent_bytes || (r->repeatable && (!r->has_forwarded_body || r->resumable));
    return is_safe && r->is_retry_allowed && r->attempts < r->max_attempts;
}

static bool _cw_request_holds_slot(const cw_request_t* r) {
    return r->state == CW_REQ_CONNECTING || r->state == CW_REQ_SENT || r->state == CW_REQ_STREAMING ||
           r->state == CW_REQ_DETACHED;
}

/* Ends the request from any state: cancels its slot request, or aborts its transfer and releases its slot. */
static uint32_t _cw_request_end(cw_request_t* r, uint32_t actions) {
    if (r->state == CW_REQ_WAITING) {
        actions |= CW_DO_CANCEL_SLOT_REQUEST;
    }
    if (_cw_request_holds_slot(r)) {
        actions |= CW_DO_ABORT | CW_DO_RELEASE_SLOT;
    }
    r->state = CW_REQ_ENDED;
    return actions;
}

static uint32_t _cw_request_retry(cw_request_t* r) {
    r->state = CW_REQ_WAITING;
    return CW_DO_ABORT | CW_DO_RELEASE_SLOT | CW_DO_REQUEST_SLOT;
}

/* The attempt ended without a complete response: retries if that is safe and allowed, otherwise ends the request. */
static uint32_t _cw_request_attempt_failed(cw_request_t* r) {
    if (r->state != CW_REQ_DETACHED && _cw_request_may_retry(r)) {
        return _cw_request_retry(r);
    }
    return _cw_request_end(r, CW_DO_RESPOND);
}

static uint32_t _cw_request_caller_closed(cw_request_t* r) {
    bool is_running = r->state == CW_REQ_SENT || r->state == CW_REQ_STREAMING;
    if (is_running && !r->repeatable && !r->cancel_on_caller_close) {
        r->state = CW_REQ_DETACHED;
        return 0;
    }
    return _cw_request_end(r, 0);
}

/* A running non-repeatable call is not aborted, so that its response is available to a retry. */
static uint32_t _cw_request_deadline(cw_request_t* r) {
    bool is_running = r->state == CW_REQ_SENT || r->state == CW_REQ_STREAMING;
    if (is_running && !r->repeatable && !r->cancel_on_caller_close) {
        r->state = CW_REQ_DETACHED;
        return CW_DO_RESPOND;
    }
    return r->state == CW_REQ_DETACHED ? 0 : _cw_request_end(r, CW_DO_RESPOND);
}

static uint32_t _cw_request_preempted(cw_request_t* r) {
    if (r->state == CW_REQ_CONNECTING) {
        return _cw_request_retry(r);
    }
    if (r->repeatable && (r->state == CW_REQ_SENT || r->state == CW_REQ_STREAMING)) {
        return _cw_request_attempt_failed(r);
    }
    return 0;
}

uint32_t cw_request_event(cw_request_t* r, cw_request_event_t event) {
    if (r->state == CW_REQ_ENDED) {
        return event == CW_EV_GRANT ? CW_DO_RELEASE_NEW_SLOT : 0;
    }
    switch (event) {
        case CW_EV_START:
            assert(r->state == CW_REQ_NEW);
            r->state = CW_REQ_WAITING;
            return CW_DO_REQUEST_SLOT;
        case CW_EV_GRANT:
            if (r->state != CW_REQ_WAITING) {
                return CW_DO_RELEASE_NEW_SLOT;
            }
            r->state = CW_REQ_CONNECTING;
            r->attempts += !r->counts_sent_only;
            return CW_DO_CONNECT;
        case CW_EV_REFUSED:
            if (r->state == CW_REQ_WAITING || r->state == CW_REQ_NEW) {
                r->state = CW_REQ_ENDED;
                return CW_DO_RESPOND;
            }
            return 0;
        case CW_EV_SENDING:
            if (r->state == CW_REQ_CONNECTING) {
                r->state = CW_REQ_SENT;
                r->had_sent_bytes = r->has_sent_bytes;
                r->has_sent_bytes = true;
                r->attempts += r->counts_sent_only;
            }
            return 0;
        case CW_EV_GRANT_EXPIRED:
            return r->state == CW_REQ_CONNECTING ? _cw_request_retry(r) : 0;
        case CW_EV_CONNECT_FAILED:
            return r->state == CW_REQ_CONNECTING ? _cw_request_attempt_failed(r) : 0;
        case CW_EV_UPSTREAM_FAILED:
            return _cw_request_holds_slot(r) ? _cw_request_attempt_failed(r) : 0;
        case CW_EV_REJECTED:
            if (r->state != CW_REQ_SENT) {
                return 0;
            }
            r->has_sent_bytes = r->had_sent_bytes;
            /* A request that may have run can't be refused any more, so a rejection costs it no attempt. */
            r->attempts -= r->had_sent_bytes && r->counts_sent_only;
            return _cw_request_attempt_failed(r);
        case CW_EV_RESPONSE_HEAD:
            if (r->state == CW_REQ_SENT) {
                r->state = CW_REQ_STREAMING;
            }
            r->has_response_head = true;
            return 0;
        case CW_EV_BODY_FORWARDED:
            r->has_forwarded_body = true;
            return 0;
        case CW_EV_RESPONSE_END:
            if (r->state != CW_REQ_STREAMING && r->state != CW_REQ_DETACHED) {
                return 0;
            }
            r->is_complete = true;
            r->state = CW_REQ_ENDED;
            return CW_DO_RELEASE_SLOT | CW_DO_RESPOND;
        case CW_EV_PREEMPTED:
            return _cw_request_preempted(r);
        case CW_EV_DEADLINE:
            return _cw_request_deadline(r);
        case CW_EV_CALLER_CLOSED:
            return _cw_request_caller_closed(r);
        case CW_EV_COUNT:
            break;
    }
    return 0;
}

#endif /* CHALKWAY_REQUEST_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
