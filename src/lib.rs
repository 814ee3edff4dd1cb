pub fn x(){}
