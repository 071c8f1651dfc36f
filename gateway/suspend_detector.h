#ifndef CW_GATEWAY_SUSPEND_DETECTOR_H
#define CW_GATEWAY_SUSPEND_DETECTOR_H
/*
    Detects that the machine was suspended, in the first iteration of the loop after it and before any other event of
    that iteration. The timers of the loop don't count suspended time, so on_resume must check everything that has a
    deadline against the clock.
*/
#include <ev.h>
#include <stdint.h>

typedef struct suspend_detector_t {
    struct ev_loop* loop;
    void (*on_resume)(void* user_data, int64_t suspended_ms);
    void* user_data;
    ev_check check;
    int64_t reported_ms; /* total suspended time when on_resume was last called */
} suspend_detector_t;

void suspend_detector_setup(suspend_detector_t* w, struct ev_loop* loop,
                            void (*on_resume)(void* user_data, int64_t suspended_ms), void* user_data);
void suspend_detector_shutdown(suspend_detector_t* w);

#endif
