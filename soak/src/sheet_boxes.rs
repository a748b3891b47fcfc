//! The boxes of a deployment: how they are started, disturbed, replaced and added.

use std::time::Instant;

use badgerferry_standin::proxy::Link;
use badgerferry_standin::proxy::Proxy;
use badgerferry_standin::relay_box::RelayBox;
use badgerferry_standin::relay_box::random_loopback_ip;
use badgerferry_standin::relay_box::settings;
use badgerferry_standin::relay_box::with_retry_slack;

use crate::sheet_callers::lock;
use crate::sheet_links::box_link;
use crate::sheet_run::Deployment;
use crate::sheet_troubles::Trouble;

impl Deployment {
    /// Starts a box under a name that no other one had. Callers do not know it yet.
    fn start_box(&mut self, hall: &str) -> anyhow::Result<RelayBox> {
        let ip = random_loopback_ip();
        let seeds: Vec<_> = self.boxes.iter().take(3).map(|seed| seed.ip).collect();
        let name = format!("box-{}", self.named);
        self.named += 1;
        let text = settings(&name, ip, self.store.address, &seeds);
        let text = text.replace("zone = \"hall-a\"", &format!("zone = \"{hall}\""));
        RelayBox::start_with_settings(ip, &with_retry_slack(&text, self.budget.slack))
    }

    /// Starts a box in addition to the others.
    pub fn add_box(&mut self, hall: &str) -> anyhow::Result<()> {
        let added = self.start_box(hall)?;
        lock(&self.traffic.fronts).push(added.front());
        self.boxes.push(added);
        self.halls.push(hall.to_owned());
        self.box_forwarders.push(None);
        self.disturbed.push(vec![Instant::now()]);
        Ok(())
    }

    /// Starts the forwarder through which callers reach a box, if it has one.
    pub async fn open_front(&mut self, index: usize) -> anyhow::Result<()> {
        if let Some(link) = box_link(index) {
            let forwarder = Proxy::start(self.boxes[index].front()).await?;
            forwarder.set(link);
            lock(&self.traffic.fronts)[index] = forwarder.address;
            self.box_forwarders[index] = Some(forwarder);
        }
        Ok(())
    }

    /// Starts a box in the hall of each of these.
    pub fn add_boxes_beside(&mut self, indexes: &[usize]) -> anyhow::Result<()> {
        for index in indexes {
            let hall = self.halls[*index].clone();
            self.add_box(&hall)?;
        }
        Ok(())
    }

    /// Replaces those of these boxes that are not down.
    pub async fn replace_boxes(&mut self, indexes: &[usize]) -> anyhow::Result<()> {
        for index in indexes {
            if !self.down.contains(index) {
                self.replace_box(*index).await?;
                self.disturbed[*index].push(Instant::now());
            }
        }
        Ok(())
    }

    /// Kills a box, and starts another one in its place.
    async fn replace_box(&mut self, index: usize) -> anyhow::Result<()> {
        let hall = self.halls[index].clone();
        let replacement = self.start_box(&hall)?;
        self.boxes[index].kill();
        lock(&self.traffic.fronts)[index] = replacement.front();
        let replaced = std::mem::replace(&mut self.boxes[index], replacement);
        self.replaced_logs.push(replaced.log());
        self.open_front(index).await
    }

    /// Disturbs boxes, or ends that. Those that are down are left alone until they are started again.
    pub fn change_boxes(
        &mut self,
        trouble: Trouble,
        begins: bool,
        affected: &[usize],
    ) -> anyhow::Result<()> {
        for index in affected {
            let is_down = self.down.contains(index);
            let a_box = &mut self.boxes[*index];
            match trouble {
                Trouble::BoxLinksReset(_) => {
                    if let (Some(forwarder), Some(usual)) =
                        (&self.box_forwarders[*index], box_link(*index))
                    {
                        forwarder.set(if begins { Link::Reset } else { usual });
                    }
                }
                Trouble::BoxesDown(_) if begins => {
                    a_box.kill();
                    self.down.insert(*index);
                }
                Trouble::BoxesDown(_) if is_down => {
                    a_box.restart()?;
                    self.down.remove(index);
                }
                _ if is_down => continue,
                Trouble::BoxesStill(_) => a_box.signal(if begins { "STOP" } else { "CONT" })?,
                Trouble::BoxesKilled(_) if begins => a_box.restart()?,
                Trouble::BoxesStopped if begins => a_box.signal("TERM")?,
                Trouble::BoxesStopped => a_box.restart()?,
                _ => continue,
            }
            self.disturbed[*index].push(Instant::now());
        }
        Ok(())
    }
}
